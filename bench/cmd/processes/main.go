// Command processes samples the resource use of running processes and submits jobs
// to running hosts.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"gooseberrypond/core/structs"
)

// cli is the command line.
type cli struct {
	Sample sampleCmd `cmd:"" help:"Processor, memory and I/O of running processes."`
	Load   loadCmd   `cmd:"" help:"Submit jobs to a running host."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("processes"), kong.Description("Measures running hosts."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// clockTicks is the number of clock ticks per second in the processor times of
// /proc/PID/stat.
const clockTicks = 100

// sampleCmd measures the resource use of processes over a period.
type sampleCmd struct {
	Process []string      `arg:"" help:"Processes as NAME=PID."`
	Over    time.Duration `help:"Time of the measurement." default:"10s"`
}

// usage holds the counters of a process from /proc: CPU seconds, resident memory in
// MB, and bytes. read and written include sockets, disk is the bytes written to
// storage.
type usage struct{ cpu, rss, read, written, disk float64 }

// Run implements the command.
func (c *sampleCmd) Run() error {
	before := make([]usage, len(c.Process))
	for i, p := range c.Process {
		before[i] = readUsage(p)
	}
	time.Sleep(c.Over)
	s := c.Over.Seconds()
	fmt.Println("process     core%    MB  read_KB/s written_KB/s disk_KB/s")
	for i, p := range c.Process {
		a, b := readUsage(p), before[i]
		name, _, _ := strings.Cut(p, "=")
		fmt.Printf("%-10s %6.1f %5.0f %10.1f %12.1f %9.1f\n", name, (a.cpu-b.cpu)/s*100, a.rss, (a.read-b.read)/s/1000, (a.written-b.written)/s/1000, (a.disk-b.disk)/s/1000)
	}
	return nil
}

// readUsage reads the usage of a NAME=PID argument from /proc. Values that cannot be
// read are zero.
func readUsage(process string) usage {
	_, pid, _ := strings.Cut(process, "=")
	read := func(file string) string {
		data, _ := os.ReadFile("/proc/" + pid + "/" + file)
		return string(data)
	}
	var u usage
	stat := read("stat")
	if fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:]); len(fields) > 12 {
		var user, system float64
		_, _ = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
		u.cpu = (user + system) / clockTicks
	}
	for line := range strings.Lines(read("status") + read("io")) {
		key, rest, _ := strings.Cut(line, ":")
		var v float64
		_, _ = fmt.Sscan(rest, &v)
		switch key {
		case "VmRSS":
			u.rss = v / 1024
		case "rchar":
			u.read = v
		case "wchar":
			u.written = v
		case "write_bytes":
			u.disk = v
		}
	}
	return u
}

// loadCmd submits batch jobs to the caller listener of a host.
type loadCmd struct {
	Caller string        `help:"Caller listener." required:"" placeholder:"IP:PORT"`
	Token  string        `help:"Bearer token." required:""`
	Entry  string        `help:"Catalogue entry." required:""`
	Tasks  int           `help:"Tasks to submit in all." default:"1000"`
	PerJob int           `help:"Tasks of one job." default:"14"`
	RunMS  int           `help:"Run time of a task in milliseconds; below 0 means until stopped." default:"2000"`
	Over   time.Duration `help:"Time over which the jobs are spread." default:"0s"`
}

// Run implements the command.
func (c *loadCmd) Run() error {
	begun, jobs := time.Now(), (c.Tasks+c.PerJob-1)/c.PerJob
	for i := range jobs {
		time.Sleep(time.Until(begun.Add(c.Over * time.Duration(i) / time.Duration(jobs))))
		spec := structs.JobSpec{Entry: c.Entry, Kind: structs.KindBatch, Count: min(c.PerJob, c.Tasks-i*c.PerJob), Payload: fmt.Appendf(nil, `{"run_ms":%d}`, c.RunMS)}
		if err := c.submit(fmt.Sprintf("load-%d-%d", begun.UnixNano(), i), spec); err != nil {
			return err
		}
	}
	fmt.Printf("%d tasks submitted in %.1f s\n", c.Tasks, time.Since(begun).Seconds())
	return nil
}

func (c *loadCmd) submit(key string, spec structs.JobSpec) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Caller+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Idempotency-Key", key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("job refused with status %d: %.300s", res.StatusCode, answer)
	}
	return err
}
