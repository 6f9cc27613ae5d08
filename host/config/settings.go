// Package config reads the settings of one host, which are JSON with comments.
// They are checked completely before anything starts. Every problem states the
// file, line, field, value and what is allowed.
package config

import (
	"os"
	"path/filepath"
	"time"

	"gooseberrypond/core/document"
)

// Role is a function that a host performs in the cluster.
type Role string

// Roles.
const (
	// RoleControl hosts run a replica of the log and may become the leader.
	RoleControl Role = "control"
	// RoleEntry hosts serve callers and receive announcements of upstreams. The
	// listeners for workers, operators and health do not depend on the role.
	RoleEntry Role = "entry"
)

// Settings are the settings of one host.
type Settings struct {
	ClusterID     string    `json:"cluster_id"`
	HostID        string    `json:"host_id"`
	Roles         []Role    `json:"roles"`
	FailureDomain string    `json:"failure_domain"`
	Region        string    `json:"region"`
	DataFolder    string    `json:"data_folder"`
	Listeners     Listeners `json:"listeners"`
	// Hosts lists all hosts of the cluster, including this one.
	Hosts []Host `json:"hosts"`
	// ControlTLS holds the files for calls to control listeners. If it is not
	// given, control hosts use the files of their own control listener.
	ControlTLS TLS    `json:"control_tls"`
	Limits     Limits `json:"limits"`
	Log        Log    `json:"log"`
}

// Listeners are the host's listeners. A listener that is not configured is not
// opened.
type Listeners struct {
	// Caller serves callers' requests and jobs (role entry).
	Caller Listener `json:"caller"`
	// Upstream receives announcements of upstreams (role entry).
	Upstream Listener `json:"upstream"`
	// Platform serves workers (any role).
	Platform Listener `json:"platform"`
	// Operator serves operators (any role).
	Operator Listener `json:"operator"`
	// Peer serves other replicas (role control).
	Peer Listener `json:"peer"`
	// Control serves calls of entry hosts (role control).
	Control Listener `json:"control"`
	// Health serves /healthz, /readyz and /metrics (any role).
	Health Listener `json:"health"`
}

// Listener configures one listening address with its TLS files, token and limit.
type Listener struct {
	// Address is an IP address and port.
	Address string `json:"address"`
	TLS     TLS    `json:"tls"`
	// TokenFile is the file with the bearer token that clients must send. Only
	// the operator listener may have one.
	TokenFile string `json:"token_file"`
	// MaxConnections is the maximum number of open connections; 0 means the listener's
	// share of those for which Limits.Memory has room.
	MaxConnections int `json:"max_connections"`
}

// TLS holds the certificate files of a listener or client. Certificate and key
// are reloaded when the files change, without a restart.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile holds the CA certificates that the other side's certificate is
	// verified against. If it is set, clients of the listener must present a
	// certificate.
	CAFile string `json:"ca_file"`
}

// Host is one host of the cluster.
type Host struct {
	ID    string `json:"id"`
	Roles []Role `json:"roles"`
	// Replica is the replica id (role control). After a disk is replaced, the
	// replica needs a new id.
	Replica uint64 `json:"replica"`
	// Peer is the address of the host's peer listener (role control).
	Peer string `json:"peer"`
	// Control is the address of the host's control listener (role control).
	Control string `json:"control"`
	// Joining is set for a replica that is added to a running cluster and is not
	// one of the founding members.
	Joining bool `json:"joining"`
}

// Limits bound what the host accepts.
type Limits struct {
	// Memory is what the process may take. A quarter of it is for the connections of
	// others, and their requests hold at most a bit more than that.
	Memory document.Bytes `json:"memory"`
	// MaxBody is the maximum size of the body of a request that is routed to an
	// upstream.
	MaxBody document.Bytes `json:"max_body"`
	// MaxCatalogue is the maximum size of a catalogue document.
	MaxCatalogue document.Bytes `json:"max_catalogue"`
	// ReadTimeout is the longest time for reading one request.
	ReadTimeout document.Duration `json:"read_timeout"`
	// IdleTimeout is the time after which a connection without requests is
	// closed.
	IdleTimeout document.Duration `json:"idle_timeout"`
	// DrainTimeout is the longest duration of a graceful shutdown.
	DrainTimeout document.Duration `json:"drain_timeout"`
	// SnapshotEntries is the number of log entries after which a snapshot is taken.
	SnapshotEntries int `json:"snapshot_entries"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Default limits.
const (
	defaultMemory          = document.Bytes(256 << 20)
	defaultMaxBody         = document.Bytes(1 << 20)
	defaultMaxCatalogue    = document.Bytes(8 << 20)
	defaultReadTimeout     = document.Duration(10 * time.Second)
	defaultIdleTimeout     = document.Duration(2 * time.Minute)
	defaultDrainTimeout    = document.Duration(35 * time.Second)
	defaultSnapshotEntries = 10_000
)

// DefaultLimits returns the limits that apply where the settings have none.
func DefaultLimits() Limits {
	return Limits{
		Memory:          defaultMemory,
		MaxBody:         defaultMaxBody,
		MaxCatalogue:    defaultMaxCatalogue,
		ReadTimeout:     defaultReadTimeout,
		IdleTimeout:     defaultIdleTimeout,
		DrainTimeout:    defaultDrainTimeout,
		SnapshotEntries: defaultSnapshotEntries,
	}
}

// Load reads and checks a settings file. Relative paths in it are resolved against
// the file's folder. If the file was read but is invalid, the error is of type
// document.Problems.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := Parse(file, data)
	if err != nil {
		return nil, err
	}
	s.resolvePaths(filepath.Dir(file))
	return s, nil
}

// Parse decodes and checks a settings document. file is the name used in errors.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{Limits: DefaultLimits(), Log: Log{Level: "info"}}
	c := checker{document.Decode(file, data, s)}
	if err := c.Err(); err != nil {
		return nil, err
	}
	c.check(s)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// resolvePaths resolves relative file names against folder.
func (s *Settings) resolvePaths(folder string) {
	abs := func(name *string) {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(folder, *name)
		}
	}
	abs(&s.DataFolder)
	for _, l := range s.Listeners.all() {
		abs(&l.listener.TokenFile)
		l.listener.TLS.eachFile(abs)
	}
	s.ControlTLS.eachFile(abs)
}

// eachFile calls fn with a pointer to each file name.
func (t *TLS) eachFile(fn func(*string)) {
	fn(&t.CertFile)
	fn(&t.KeyFile)
	fn(&t.CAFile)
}

// Enabled reports whether the listener is configured.
func (l *Listener) Enabled() bool { return l.Address != "" }

// Enabled reports whether a certificate file is configured.
func (t *TLS) Enabled() bool { return t.CertFile != "" }

// Has reports whether the host has the role.
func (s *Settings) Has(r Role) bool { return hasRole(s.Roles, r) }

func hasRole(roles []Role, r Role) bool {
	for _, x := range roles {
		if x == r {
			return true
		}
	}
	return false
}

// Self returns this host's entry in Hosts, or the zero value if there is none.
func (s *Settings) Self() Host {
	for _, h := range s.Hosts {
		if h.ID == s.HostID {
			return h
		}
	}
	return Host{}
}

// With returns the hosts that have the role, in file order.
func (s *Settings) With(r Role) []Host {
	var out []Host
	for _, h := range s.Hosts {
		if hasRole(h.Roles, r) {
			out = append(out, h)
		}
	}
	return out
}

// EntryHosts returns the ids of the hosts with role entry.
func (s *Settings) EntryHosts() []string {
	var ids []string
	for _, h := range s.With(RoleEntry) {
		ids = append(ids, h.ID)
	}
	return ids
}
