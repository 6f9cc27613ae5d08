// Package config reads the settings of one host: JSON with comments, checked
// as a whole before anything starts. Every error names the file, line, field,
// value and what is allowed.
package config

import (
	"os"
	"path/filepath"
	"time"

	"gooseberrypond/core/document"
)

// Role is a part that a host plays.
type Role string

// Roles.
const (
	// RoleControl runs a replica of the log and may become the leader.
	RoleControl Role = "control"
	// RoleEntry serves callers, upstreams and workers.
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
	// Hosts lists every host of the cluster, this one included.
	Hosts []Host `json:"hosts"`
	// ControlTLS protects calls to control listeners; control hosts use their
	// control listener's files when it is not given.
	ControlTLS TLS    `json:"control_tls"`
	Limits     Limits `json:"limits"`
	Log        Log    `json:"log"`
}

// Listeners are the addresses on which the host serves. A listener that is
// not given is not opened.
type Listeners struct {
	// Caller serves callers' requests and jobs (role entry).
	Caller Listener `json:"caller"`
	// Upstream receives announcements of upstreams (role entry).
	Upstream Listener `json:"upstream"`
	// Platform serves workers.
	Platform Listener `json:"platform"`
	// Operator serves operators.
	Operator Listener `json:"operator"`
	// Peer serves other replicas (role control).
	Peer Listener `json:"peer"`
	// Control serves calls of entry hosts (role control).
	Control Listener `json:"control"`
	// Health serves /healthz, /readyz and /metrics.
	Health Listener `json:"health"`
}

// Listener is one address with its protection.
type Listener struct {
	// Address is an IP address and port.
	Address string `json:"address"`
	TLS     TLS    `json:"tls"`
	// TokenFile holds the bearer token that clients must send; only for the operator listener.
	TokenFile string `json:"token_file"`
	// MaxConnections bounds open connections; 0 means the default.
	MaxConnections int `json:"max_connections"`
}

// TLS names the files of a listener's certificate. They are read again when
// they change, without a restart.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile verifies the other side's certificate; on the peer and control
	// listeners clients must then present one.
	CAFile string `json:"ca_file"`
}

// Host is one host of the cluster.
type Host struct {
	ID    string `json:"id"`
	Roles []Role `json:"roles"`
	// Replica is the replica id (role control). A replaced disk needs a new id.
	Replica uint64 `json:"replica"`
	// Peer is the address of the host's peer listener (role control).
	Peer string `json:"peer"`
	// Control is the address of the host's control listener (role control).
	Control string `json:"control"`
	// Joining is set on a replica that was added to a running cluster; it is
	// not one of the founding members.
	Joining bool `json:"joining"`
}

// Limits bound what the host accepts.
type Limits struct {
	// MaxBody bounds one request or answer body of callers.
	MaxBody document.Bytes `json:"max_body"`
	// MaxCatalogue bounds a catalogue document.
	MaxCatalogue document.Bytes `json:"max_catalogue"`
	// ReadTimeout bounds the reading of one request.
	ReadTimeout document.Duration `json:"read_timeout"`
	// IdleTimeout closes connections without requests.
	IdleTimeout document.Duration `json:"idle_timeout"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout document.Duration `json:"drain_timeout"`
	// SnapshotEntries is the number of log entries after which a snapshot is taken.
	SnapshotEntries int `json:"snapshot_entries"`
}

// Log configures the host's log lines.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Default limits.
const (
	DefaultMaxConnections  = 4096
	defaultMaxBody         = document.Bytes(1 << 20)
	defaultMaxCatalogue    = document.Bytes(8 << 20)
	defaultReadTimeout     = document.Duration(10 * time.Second)
	defaultIdleTimeout     = document.Duration(2 * time.Minute)
	defaultDrainTimeout    = document.Duration(35 * time.Second)
	defaultSnapshotEntries = 10_000
)

// DefaultLimits returns the limits used where the settings give none.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:         defaultMaxBody,
		MaxCatalogue:    defaultMaxCatalogue,
		ReadTimeout:     defaultReadTimeout,
		IdleTimeout:     defaultIdleTimeout,
		DrainTimeout:    defaultDrainTimeout,
		SnapshotEntries: defaultSnapshotEntries,
	}
}

// Load reads and checks a settings file. Relative paths in it are relative to
// its folder. The error is of type document.Problems when the file could be read.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := Parse(file, data)
	if err != nil {
		return nil, err
	}
	s.resolve(filepath.Dir(file))
	return s, nil
}

// Parse checks a settings document; file is its name in errors.
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

// resolve makes relative file names relative to folder.
func (s *Settings) resolve(folder string) {
	abs := func(name *string) {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(folder, *name)
		}
	}
	abs(&s.DataFolder)
	for _, l := range s.Listeners.all() {
		abs(&l.listener.TokenFile)
		l.listener.TLS.each(abs)
	}
	s.ControlTLS.each(abs)
}

// each calls fn with every file name.
func (t *TLS) each(fn func(*string)) {
	fn(&t.CertFile)
	fn(&t.KeyFile)
	fn(&t.CAFile)
}

// Enabled reports whether the listener is given.
func (l *Listener) Enabled() bool { return l.Address != "" }

// Enabled reports whether certificate files are given.
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

// Self returns this host's line of the host list.
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
