package document

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration written with its unit, such as "200ms" or "15m".
type Duration time.Duration

// Allowed describes the accepted form of a duration.
func (d *Duration) Allowed() string { return `a duration with unit such as "200ms", "10s" or "15m"` }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return errors.New(d.Allowed())
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d Duration) Milliseconds() int64 { return time.Duration(d).Milliseconds() }

// Bytes is an amount of memory or data written with its unit, such as "64MiB".
type Bytes int64

// byteUnits lists the units of Bytes from large to small.
var byteUnits = []struct {
	suffix string
	size   int64
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Allowed describes the accepted form of a size.
func (b *Bytes) Allowed() string { return `a size with unit such as "512KiB", "64MiB" or "125GiB"` }

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := strings.TrimSpace(string(text))
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.size {
			break
		}
		*b = Bytes(n * u.size)
		return nil
	}
	return errors.New(b.Allowed())
}

// MarshalText implements encoding.TextMarshaler. It uses the largest unit of which
// b is a whole multiple.
func (b Bytes) MarshalText() ([]byte, error) {
	for _, u := range byteUnits {
		if b != 0 && int64(b)%u.size == 0 {
			return []byte(fmt.Sprintf("%d%s", int64(b)/u.size, u.suffix)), nil
		}
	}
	return []byte("0B"), nil
}

// MiB returns b in whole MiB, rounded up.
func (b Bytes) MiB() int64 { return (int64(b) + 1<<20 - 1) >> 20 }

// Cores is a number of CPU cores in thousandths, written as "2", "0.5" or "500m".
type Cores int64

// maxCores is the largest value accepted for a number of cores. With the suffix
// "m" it limits the number of thousandths.
const maxCores = 1 << 20

// Allowed describes the accepted form of a number of cores.
func (c *Cores) Allowed() string { return `a number of cores such as "2", "0.5" or "500m"` }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Cores) UnmarshalText(text []byte) error {
	s := strings.TrimSpace(string(text))
	scale := 1000.0
	if milli, ok := strings.CutSuffix(s, "m"); ok {
		s = milli
		scale = 1
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || v < 0 || v > maxCores || math.IsNaN(v) {
		return errors.New(c.Allowed())
	}
	*c = Cores(math.Round(v * scale))
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (c Cores) MarshalText() ([]byte, error) {
	if c%1000 == 0 {
		return []byte(strconv.FormatInt(int64(c/1000), 10)), nil
	}
	return []byte(strconv.FormatInt(int64(c), 10) + "m"), nil
}
