package graph

import "strings"

// Queue is a place to which callers submit jobs.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and PathPrefix select the queue: the longest prefix of the path wins.
	Host       string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	// Pool is the service whose workers run the tasks.
	Pool string `cbor:"4,keyasint"`
	// Priority orders queues; 0 comes first.
	Priority int `cbor:"5,keyasint,omitempty"`
	// Attempts bounds the failed runs of a task.
	Attempts int `cbor:"6,keyasint"`
	// DeadlineFactor and TargetLatencyMS give a job's objective: the factor
	// times its longest chain of work, plus the latency.
	DeadlineFactor  float64 `cbor:"7,keyasint,omitempty"`
	TargetLatencyMS int64   `cbor:"8,keyasint,omitempty"`
	TimeoutMS       int64   `cbor:"9,keyasint"`
	// Advice is set if only some workers may run a step.
	Advice *AdviceTerms `cbor:"10,keyasint,omitempty"`
}

// AdviceTerms says what a call for advice costs.
type AdviceTerms struct {
	DecisionMS  int64 `cbor:"1,keyasint"`
	PerWorkerMS int64 `cbor:"2,keyasint"`
	ValidMS     int64 `cbor:"3,keyasint"`
}

// Pool is a service: a set of workers.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Guards means that workers refuse what does not fit.
	Guards bool `cbor:"2,keyasint,omitempty"`
	// Standby means that the pool's hosts are off.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// Limits bound callers' requests.
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

	byHost map[string][]*Queue
	byName map[string]*Queue
	pools  map[string]*Pool
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
}

// MatchQueue returns the queue with the longest prefix of the path, or nil.
func (c *Config) MatchQueue(host, path string) *Queue {
	var best *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// QueueByName returns a queue, or nil.
func (c *Config) QueueByName(name string) *Queue { return c.byName[name] }

// PoolByName returns a pool, or nil.
func (c *Config) PoolByName(name string) *Pool { return c.pools[name] }
