// Package codec decodes what processes of this system have encoded themselves: log
// entries, snapshots and files. The library limits the number of elements and refuses
// text that is not UTF-8, as a protection from others' input; its encoder does neither,
// and what is encoded must be decoded again, or it is lost.
package codec

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

var mode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are valid
	}
	return m
}()

// Unmarshal decodes CBOR of any number of elements, with text of any bytes.
func Unmarshal(data []byte, v any) error { return mode.Unmarshal(data, v) }

// UnmarshalFirst decodes the first of several values and returns the bytes after it.
func UnmarshalFirst(data []byte, v any) (rest []byte, err error) { return mode.UnmarshalFirst(data, v) }
