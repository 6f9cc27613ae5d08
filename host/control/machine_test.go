package control

import (
	"testing"

	"gooseberrypond/core/structs"
)

// Guards against a log entry that was accepted and cannot be read again, which ends every
// replica at each start: one with many elements, or with text that is not UTF-8.
func TestEveryEncodedCommandIsRead(t *testing.T) {
	many := &structs.Command{EndAttempts: &structs.EndAttempts{Attempts: make([]structs.AttemptRef, 140_000)}}
	odd := &structs.Command{CancelJob: &structs.CancelJob{Job: "\xff"}}
	for name, cmd := range map[string]*structs.Command{"many elements": many, "text that is not UTF-8": odd} {
		data, err := encodeCommand(cmd)
		if err != nil {
			t.Fatal(err)
		}
		func() {
			defer func() {
				if p := recover(); p != nil {
					t.Errorf("%s: the replica ends: %v", name, p)
				}
			}()
			newStateMachine().Apply(1, data)
		}()
	}
}
