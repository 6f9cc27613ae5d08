package entry

import (
	"testing"

	"gooseberrypond/core/structs"
)

// Guards against tokens and entries that lose their owner when owners are merged:
// those of a former owner belong to the owner it was merged into. Also guards
// against an owner that can use the entries of another.
func TestTokensAndEntriesOfMergedOwners(t *testing.T) {
	control := newFakeControl("e1")
	control.catalogue.Owners = map[string]structs.Owner{
		"aaa":    {TokenSHA256: []string{sha("aaa"), sha("aab")}},
		"desk":   {TokenSHA256: []string{sha("nakhon"), "not hex", sha("desk")}, MergedFrom: []string{"nakhon"}},
		"nakhon": {TokenSHA256: []string{sha("nakhon")}, MergedFrom: []string{"older"}},
		"older":  {TokenSHA256: []string{sha("older")}},
		"other":  {TokenSHA256: []string{sha("other")}},
	}
	control.catalogue.Entries["old"] = structs.Entry{Owner: "older", Class: structs.ClassLatency}
	control.catalogue.Entries["plan"] = structs.Entry{Owner: "desk", Class: structs.ClassBatch}
	f := newFixture(t, control)
	if _, err := f.Authenticate("desk"); err == nil {
		t.Error("a token was accepted before the first view")
	}
	f.resync(t)
	for token, want := range map[string]string{"desk": "desk", "nakhon": "desk", "older": "desk", "other": "other", "aab": "aaa", "guess": "", "": ""} {
		if got, err := f.Authenticate(token); got != want || (err == nil) != (want != "") {
			t.Errorf("token %q: owner %q, error %v", token, got, err)
		}
	}
	for _, tc := range []struct {
		owner, entry string
		ok           bool
	}{{"desk", "book", true}, {"desk", "old", true}, {"other", "book", false}, {"desk", "plan", false}, {"desk", "none", false}} {
		if err := f.checkOwner(tc.owner, tc.entry); (err == nil) != tc.ok {
			t.Errorf("checkOwner(owner %s, entry %s) = %v", tc.owner, tc.entry, err)
		}
	}
}
