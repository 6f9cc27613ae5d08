package digest

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a secret that is taken for another, or for none: the index must agree
// with a map, also for digests that differ in one bit.
func TestIndexAgreesWithMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		secrets := rapid.SliceOfN(rapid.StringN(1, 4, 8), 0, 30).Draw(t, "secrets")
		var x Index
		want := map[Sum]string{}
		for _, s := range secrets {
			x.Add(Of(s), "owner of "+s)
			want[Of(s)] = "owner of " + s
		}
		for s, owner := range want {
			if got, ok := x.Owner(s); !ok || got != owner {
				t.Fatalf("owner is %q, %v, want %q", got, ok, owner)
			}
			near := s
			near[rapid.IntRange(0, len(near)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			if got, ok := x.Owner(near); ok {
				t.Fatalf("a digest that was not added has the owner %q", got)
			}
		}
	})
}

// Guards against calls without a secret that pass for an owner's.
func TestNoSecretHasNoOwner(t *testing.T) {
	var x Index
	x.Add(Of(""), "a")
	if owner, ok := x.Owner(Of("")); ok {
		t.Fatalf("no secret belongs to %q", owner)
	}
}
