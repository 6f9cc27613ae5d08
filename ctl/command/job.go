package command

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/document"
	"gooseberrypond/core/structs"
	"gooseberrypond/ctl/client"
)

// longPollWait is how long a host holds one long poll of job wait open.
const longPollWait = 10 * time.Second

// maxListedTasks is the maximum number of tasks listed in table output.
const maxListedTasks = 50

// JobCmd groups the commands that submit and manage jobs.
type JobCmd struct {
	Submit JobSubmitCmd `cmd:"" help:"Submit a job."`
	List   JobListCmd   `cmd:"" help:"List the owner's jobs."`
	Get    JobGetCmd    `cmd:"" help:"Show a job and its tasks."`
	Wait   JobWaitCmd   `cmd:"" help:"Wait until a job is finished."`
	Cancel JobCancelCmd `cmd:"" help:"Cancel a job."`
}

// JobSubmitCmd submits a job.
type JobSubmitCmd struct {
	Entry         string        `arg:"" help:"Catalogue entry."`
	Kind          string        `enum:"batch,service,recurring" default:"batch" help:"Kind of the job: batch, service or recurring."`
	Count         int           `default:"1" help:"Number of tasks."`
	Payload       string        `help:"Payload given to each task."`
	PayloadFile   string        `help:"File with the payload." type:"existingfile"`
	Deadline      time.Duration `help:"Time from now by which the job should be finished."`
	Every         time.Duration `help:"Period of a recurring job."`
	Key           string        `help:"Idempotency key; a repeated key names the same job. Random if not given."`
	NonIdempotent bool          `help:"Never start a task again whose attempt was lost."`
	CPU           string        `help:"Processors of one task in place of the entry's, as 2 or 500m."`
	Memory        string        `help:"Memory of one task in place of the entry's, as 512MiB."`
	Accelerators  int64         `help:"Accelerators of one task in place of the entry's."`
	Wait          bool          `help:"Wait until the job is finished."`
}

// Run implements the command.
func (c *JobSubmitCmd) Run(env *Env) error {
	spec, err := c.spec()
	if err != nil {
		return err
	}
	key := c.Key
	if key == "" {
		key = newID("key")
	}
	var result structs.SubmitResult
	err = env.Caller.Do(env.Ctx, client.Request{
		Method: http.MethodPost,
		Path:   "/v1/jobs",
		Header: http.Header{"Idempotency-Key": {key}},
		Body:   spec,
	}, &result)
	if err != nil {
		return errors.Wrapf(err, "submit with key %s", key)
	}
	if !env.JSON {
		fmt.Fprintf(env.Out, "job %s submitted\n", result.Job)
	}
	if c.Wait {
		return waitJob(env, string(result.Job))
	}
	if env.JSON {
		return env.printJSON(result)
	}
	return nil
}

func (c *JobSubmitCmd) spec() (structs.JobSpec, error) {
	spec := structs.JobSpec{
		Entry:         c.Entry,
		Kind:          structs.JobKind(c.Kind),
		Count:         c.Count,
		Payload:       []byte(c.Payload),
		EveryMS:       c.Every.Milliseconds(),
		NonIdempotent: c.NonIdempotent,
	}
	if c.Deadline > 0 {
		spec.DeadlineMS = time.Now().Add(c.Deadline).UnixMilli()
	}
	if c.PayloadFile != "" {
		data, err := os.ReadFile(c.PayloadFile)
		if err != nil {
			return spec, errors.Wrap(err, "read payload")
		}
		spec.Payload = data
	}
	var err error
	spec.Resources, err = c.resources()
	return spec, err
}

func (c *JobSubmitCmd) resources() (structs.Resources, error) {
	var cores document.Cores
	var memory document.Bytes
	var problems document.Problems
	if c.CPU != "" && cores.UnmarshalText([]byte(c.CPU)) != nil {
		problems = append(problems, document.Problem{File: "command line", Field: "--cpu", Value: c.CPU, Allowed: cores.Allowed()})
	}
	if c.Memory != "" && memory.UnmarshalText([]byte(c.Memory)) != nil {
		problems = append(problems, document.Problem{File: "command line", Field: "--memory", Value: c.Memory, Allowed: memory.Allowed()})
	}
	r := structs.Resources{CPUMilli: int64(cores), MemoryMB: memory.MiB(), Accelerators: c.Accelerators}
	if problems != nil {
		return r, problems
	}
	return r, nil
}

// JobListCmd lists the owner's jobs.
type JobListCmd struct{}

// Run implements the command.
func (c *JobListCmd) Run(env *Env) error {
	var jobs []structs.Job
	err := env.Caller.Do(env.Ctx, client.Request{Method: http.MethodGet, Path: "/v1/jobs"}, &jobs)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.printJSON(jobs)
	}
	rows := make([][]string, len(jobs))
	for i, j := range jobs {
		rows[i] = []string{string(j.ID), j.Spec.Entry, string(j.Spec.Kind), string(j.Status),
			formatTime(j.SubmittedMS), formatTime(j.FinishedMS)}
	}
	return env.printTable([]string{"JOB", "ENTRY", "KIND", "STATUS", "SUBMITTED", "FINISHED"}, rows)
}

// JobGetCmd shows one job and its tasks.
type JobGetCmd struct {
	Job string `arg:"" help:"Job id."`
}

// Run implements the command.
func (c *JobGetCmd) Run(env *Env) error {
	view, err := getJob(env, c.Job, 0)
	if err != nil {
		return err
	}
	return env.printJob(view)
}

// JobWaitCmd waits until a job is finished.
type JobWaitCmd struct {
	Job string `arg:"" help:"Job id."`
}

// Run implements the command.
func (c *JobWaitCmd) Run(env *Env) error { return waitJob(env, c.Job) }

// waitJob polls until the job has finished and prints it. A final status other
// than done is returned as an error.
func waitJob(env *Env, id string) error {
	for {
		view, err := getJob(env, id, longPollWait)
		if err != nil {
			return err
		}
		if !view.Job.Status.Finished() {
			continue
		}
		if err := env.printJob(view); err != nil {
			return err
		}
		if view.Job.Status != structs.StatusDone {
			return errors.Newf("job %s is %s", id, view.Job.Status)
		}
		return nil
	}
}

func getJob(env *Env, id string, wait time.Duration) (*structs.JobView, error) {
	req := client.Request{Method: http.MethodGet, Path: "/v1/jobs/" + url.PathEscape(id), Wait: wait}
	if wait > 0 {
		req.Query = url.Values{"wait": {wait.String()}}
	}
	var view structs.JobView
	err := env.Caller.Do(env.Ctx, req, &view)
	return &view, err
}

// JobCancelCmd cancels one job.
type JobCancelCmd struct {
	Job string `arg:"" help:"Job id."`
}

// Run implements the command.
func (c *JobCancelCmd) Run(env *Env) error {
	path := "/v1/jobs/" + url.PathEscape(c.Job) + "/cancel"
	err := env.Caller.Do(env.Ctx, client.Request{Method: http.MethodPost, Path: path}, nil)
	if err != nil {
		return err
	}
	if !env.JSON {
		fmt.Fprintf(env.Out, "job %s cancelled\n", c.Job)
	}
	return nil
}

// ExplainCmd prints why a job is pending, or where it runs and why.
type ExplainCmd struct {
	Job string `arg:"" help:"Job id."`
}

// Run implements the command.
func (c *ExplainCmd) Run(env *Env) error {
	var lines []string
	path := "/v1/jobs/" + url.PathEscape(c.Job) + "/explain"
	err := env.Caller.Do(env.Ctx, client.Request{Method: http.MethodGet, Path: path}, &lines)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.printJSON(lines)
	}
	fmt.Fprintln(env.Out, strings.Join(lines, "\n"))
	return nil
}

func (e *Env) printJob(view *structs.JobView) error {
	if e.JSON {
		return e.printJSON(view)
	}
	j := view.Job
	fmt.Fprintf(e.Out, "job %s  entry %s  kind %s  status %s  tasks %s\n",
		j.ID, j.Spec.Entry, j.Spec.Kind, j.Status, formatCounts(view.Counts))
	if j.DeadlineAtRisk {
		fmt.Fprintf(e.Out, "deadline %s is at risk\n", formatTime(j.Spec.DeadlineMS))
	}
	for _, reason := range j.Reasons {
		fmt.Fprintln(e.Out, "reason:", reason)
	}
	var rows [][]string
	for i, t := range view.Tasks {
		if i == maxListedTasks {
			break
		}
		rows = append(rows, []string{t.ID.String(), string(t.Status), string(t.Worker), strconv.FormatInt(t.Attempt, 10),
			strconv.Itoa(t.Evictions), strconv.Itoa(t.Failures), strconv.Itoa(t.ExitCode)})
	}
	if err := e.printTable([]string{"TASK", "STATUS", "WORKER", "ATTEMPT", "EVICTIONS", "FAILURES", "EXIT"}, rows); err != nil {
		return err
	}
	if omitted := len(view.Tasks) - maxListedTasks; omitted > 0 {
		fmt.Fprintf(e.Out, "%d more tasks; use -o json\n", omitted)
	}
	return nil
}

func formatCounts(counts map[structs.JobStatus]int) string {
	var parts []string
	for status, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", status, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
