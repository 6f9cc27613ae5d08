package structs

import "testing"

// Guards against free capacity in one dimension hiding a shortage in another.
func TestResourcesFits(t *testing.T) {
	free := Resources{CPUMilli: 1000, MemoryMB: 512, Accelerators: 1}
	tests := []struct {
		name string
		ask  Resources
		want bool
	}{
		{"equal", free, true},
		{"cpu over", Resources{CPUMilli: 1001}, false},
		{"memory over", Resources{MemoryMB: 513}, false},
		{"accelerators over", Resources{Accelerators: 2}, false},
		{"zero", Resources{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.ask.Fits(free); got != tt.want {
				t.Errorf("Fits = %v, want %v", got, tt.want)
			}
		})
	}
}
