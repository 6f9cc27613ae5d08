package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/localcluster"
	"gooseberrypond/host/rpc"
)

// fillSettleTime is how long the number of running tasks must be unchanged before
// the filling of the workers counts as complete.
const fillSettleTime = 2 * time.Second

// urgentCmd measures the start latency of urgent jobs during a burst of batch jobs.
type urgentCmd struct {
	Workers int           `help:"Stand-in workers." default:"60"`
	Jobs    int           `help:"Batch jobs of the burst." default:"12000"`
	Over    time.Duration `help:"Time over which the burst is submitted." default:"60s"`
	Urgent  int           `help:"Urgent jobs, spread over the burst." default:"1200"`
	Fill    int           `help:"Batch tasks of 10 minutes that run first; enough of them fill all workers." default:"0"`
	Entry   int           `help:"Entry hosts without a replica, besides 3 with one." default:"5"`
}

// starts records the time of the first start of each job.
type starts struct {
	mu sync.Mutex
	at map[structs.JobID]time.Time
}

func (s *starts) record(id structs.TaskID, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.at[id.Job]; !known {
		s.at[id.Job] = at
	}
}

func (s *starts) get(id structs.JobID) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[id]
	return at, ok
}

// Run implements the command.
func (u *urgentCmd) Run(c *cli) error {
	ctx, cancel := context.WithTimeout(context.Background(), u.Over+5*time.Minute)
	defer cancel()
	cl, stop, err := c.start(ctx, localcluster.Options{Control: 3, Entry: u.Entry})
	if err != nil {
		return err
	}
	defer stop()
	s := &starts{at: map[structs.JobID]time.Time{}}
	cl.Ledger.OnStart(s.record)
	cl.Workers(u.Workers)
	if err := waitLiveWorkers(ctx, cl.Client(), u.Workers); err != nil {
		return err
	}
	if err := u.fillWorkers(ctx, cl.Client()); err != nil {
		return err
	}
	submits, latency := newTimes(), newTimes()
	var wg sync.WaitGroup
	errs := make(chan error, 2)
	wg.Go(func() {
		errs <- u.submit(ctx, cl.Client(), "report", u.Jobs, func(structs.JobID, time.Time, time.Duration) error { return nil })
	})
	wg.Go(func() {
		errs <- u.submit(ctx, cl.Client(), "urgent", u.Urgent, func(id structs.JobID, sent time.Time, took time.Duration) error {
			if err := submits.add(took); err != nil {
				return err
			}
			return u.awaitStart(ctx, s, id, sent, latency)
		})
	})
	wg.Wait()
	for range 2 {
		if err := <-errs; err != nil {
			return err
		}
	}
	fmt.Printf("%d workers, 3 replicas, %d entry hosts; %d batch jobs over %s\n", u.Workers, u.Entry+3, u.Jobs, u.Over)
	submits.print("urgent submit answered")
	latency.print("urgent submit to start on the worker")
	if v := cl.Ledger.Violations(); len(v) > 0 {
		return fmt.Errorf("the scheduler's guarantees were violated: %v", v)
	}
	return nil
}

// fillWorkers submits long batch tasks and waits until no more of them start: either all
// run or no worker has free capacity for another.
func (u *urgentCmd) fillWorkers(ctx context.Context, client *rpc.Client) error {
	for left, i := u.Fill, 0; left > 0; left, i = left-structs.MaxTasksPerJob, i+1 {
		spec := structs.JobSpec{Entry: "report", Kind: structs.KindBatch, Count: min(left, structs.MaxTasksPerJob), Payload: []byte(`{"run_ms":600000}`)}
		if _, err := client.Submit(ctx, structs.SubmitJob{Owner: "dev", Key: fmt.Sprint("fill-", i), Spec: spec}); err != nil {
			return err
		}
	}
	running, unchangedSince := 0, time.Now()
	for u.Fill > 0 && time.Since(unchangedSince) < fillSettleTime {
		st, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if n := st.Tasks[structs.StatusRunning]; n != running {
			running, unchangedSince = n, time.Now()
		}
		if err := localcluster.Pause(ctx); err != nil {
			return err
		}
	}
	fmt.Printf("%d tasks of %d run before the burst\n", running, u.Fill)
	return nil
}

// submit submits n jobs at even intervals, each in its own goroutine, and calls done
// with the ID, the time of sending and the latency of each. It returns the first error.
func (u *urgentCmd) submit(ctx context.Context, client *rpc.Client, entry string, n int, done func(structs.JobID, time.Time, time.Duration) error) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	begun := time.Now()
	for i := range n {
		time.Sleep(time.Until(begun.Add(u.Over * time.Duration(i) / time.Duration(n))))
		wg.Go(func() {
			sent := time.Now()
			job := structs.SubmitJob{Owner: "dev", Key: fmt.Sprintf("%s-%d", entry, i), Spec: structs.JobSpec{Entry: entry, Kind: structs.KindBatch, Payload: []byte(`{"run_ms":500}`)}}
			res, err := client.Submit(ctx, job)
			if err == nil {
				err = done(res.Job, sent, time.Since(sent))
			}
			mu.Lock()
			defer mu.Unlock()
			if first == nil {
				first = err
			}
		})
	}
	wg.Wait()
	return first
}

// awaitStart waits for the start of a job and records the time since it was sent.
func (u *urgentCmd) awaitStart(ctx context.Context, s *starts, id structs.JobID, sent time.Time, latency times) error {
	for {
		if at, ok := s.get(id); ok {
			s.mu.Lock()
			defer s.mu.Unlock()
			return latency.add(at.Sub(sent))
		}
		if err := localcluster.Pause(ctx); err != nil {
			return err
		}
	}
}

// waitLiveWorkers waits until the leader reports the wanted number of live workers.
func waitLiveWorkers(ctx context.Context, client *rpc.Client, want int) error {
	for {
		st, err := client.Status(ctx)
		if err == nil && st.LiveWorkers >= want {
			return nil
		}
		if err := localcluster.Pause(ctx); err != nil {
			return err
		}
	}
}
