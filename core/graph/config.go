package graph

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/core/digest"
)

// Queue is the configuration of a queue to which callers submit jobs.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and PathPrefix select the queue for a request. If several prefixes
	// match the path, the longest wins.
	Host       string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	// Pool is the service whose workers run the tasks.
	Pool string `cbor:"4,keyasint"`
	// Priority orders queues; 0 is the highest.
	Priority int `cbor:"5,keyasint,omitempty"`
	// Attempts is the number of failed runs of one task at which its job fails; 0
	// means no limit.
	Attempts int `cbor:"6,keyasint"`
	// DeadlineFactor and TargetLatencyMS set the objective for a job's completion
	// time: the factor times the length of its critical path, plus the latency.
	DeadlineFactor  float64 `cbor:"7,keyasint,omitempty"`
	TargetLatencyMS int64   `cbor:"8,keyasint,omitempty"`
	TimeoutMS       int64   `cbor:"9,keyasint"`
	// Advice is set if only some of the pool's workers may run a step.
	Advice *AdviceTerms `cbor:"10,keyasint,omitempty"`
	// Public means that calls need no key.
	Public bool `cbor:"11,keyasint,omitempty"`
}

// AdviceTerms describes the cost of a call for advice and how long its answer is
// valid.
type AdviceTerms struct {
	DecisionMS  int64 `cbor:"1,keyasint"`
	PerWorkerMS int64 `cbor:"2,keyasint"`
	ValidMS     int64 `cbor:"3,keyasint"`
}

// Pool is a set of workers that belong to one service.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Guards means that the workers themselves refuse tasks that do not fit.
	Guards bool `cbor:"2,keyasint,omitempty"`
	// Standby means that the pool's hosts are powered off.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// Limits are the limits on callers' requests.
type Limits struct {
	HeaderBytes     int   `cbor:"1,keyasint"`
	BodyBytes       int   `cbor:"2,keyasint"`
	HeaderTimeoutMS int64 `cbor:"3,keyasint"`
	IdleTimeoutMS   int64 `cbor:"4,keyasint"`
}

// Config is the configuration in force: the one with the highest version.
type Config struct {
	Version uint64  `cbor:"1,keyasint"`
	Queues  []Queue `cbor:"2,keyasint"`
	Pools   []Pool  `cbor:"3,keyasint"`
	Limits  Limits  `cbor:"4,keyasint"`
	// Document is the configuration as it was received.
	Document []byte `cbor:"5,keyasint"`
	// Organisations are the owners of jobs. Without any, calls need no key and all
	// callers count as one.
	Organisations []Organisation `cbor:"6,keyasint,omitempty"`

	byHost        map[string][]*Queue
	byName        map[string]*Queue
	pools         map[string]*Pool
	keys          digest.Index
	organisations map[string]*Organisation
}

func (c *Config) index() {
	c.byHost, c.byName, c.pools = map[string][]*Queue{}, map[string]*Queue{}, map[string]*Pool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
		c.byName[q.Name] = q
	}
	for i := range c.Pools {
		c.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	c.keys, c.organisations = digest.Index{}, map[string]*Organisation{}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		c.organisations[o.Name] = o
		for _, k := range o.Keys {
			c.keys.Add(k, o.Name)
		}
	}
}

// maxGrowth is above the factor by which a configuration can be larger in the log than its
// document is: a key of one letter becomes a hash.
const maxGrowth = 16

// CheckSize returns an error if the configuration takes more bytes in a log entry than
// the limit.
func (c *Config) CheckSize(limit int) error {
	if maxGrowth*len(c.Document) <= limit {
		return nil
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	if len(data) > limit {
		return errors.Newf("the configuration takes %d bytes in the log, at most %d are allowed", len(data), limit)
	}
	return nil
}

// MatchQueue returns the host's queue with the longest prefix that matches the
// path, or nil.
func (c *Config) MatchQueue(host, path string) *Queue {
	var best *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// QueueByName returns the queue with the name, or nil.
func (c *Config) QueueByName(name string) *Queue { return c.byName[name] }

// PoolByName returns the pool with the name, or nil.
func (c *Config) PoolByName(name string) *Pool { return c.pools[name] }
