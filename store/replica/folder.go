package replica

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
	"gooseberrypond/store/snapshot"
	"gooseberrypond/store/wal"
)

// folderVersion is the format version of the identity file.
const folderVersion = 1

const (
	identityName = "replica.json"
	lockName     = "lock"
)

// identity is the content of the identity file. It ties a data folder to one replica.
type identity struct {
	Version   int    `json:"version"`
	ClusterID string `json:"cluster_id"`
	ReplicaID string `json:"replica_id"`
	// Instance is random. The group records it, so that a replica with a new
	// folder cannot act under an old id.
	Instance string `json:"instance"`
}

// folder is an open data folder.
type folder struct {
	identity
	log   *wal.Log
	snaps *snapshot.Store
	saved consensus.PersistedState
	// state is the state machine's data in the snapshot; nil without one.
	state []byte
}

// openFolder opens or creates the data folder, which the caller has locked.
func openFolder(cfg *Config) (*folder, error) {
	f := &folder{snaps: snapshot.NewStore(cfg.FS, cfg.Dir)}
	if err := disk.RemoveTemp(cfg.FS, cfg.Dir); err != nil {
		return nil, errors.Wrapf(err, "remove temporary files in %s", cfg.Dir)
	}
	data, err := cfg.FS.ReadFile(filepath.Join(cfg.Dir, identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return f, f.create(cfg)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read identity")
	}
	if err := f.checkIdentity(cfg, data); err != nil {
		return nil, err
	}
	return f, f.recover(cfg)
}

func (f *folder) checkIdentity(cfg *Config, data []byte) error {
	path := filepath.Join(cfg.Dir, identityName)
	if err := json.Unmarshal(data, &f.identity); err != nil {
		return errors.Wrapf(err, "%s", path)
	}
	switch {
	case f.Version != folderVersion:
		return errors.Newf("%s: format version %d is not supported, want %d", path, f.Version, folderVersion)
	case f.ClusterID != cfg.ClusterID:
		return errors.Newf("%s: folder belongs to cluster %q, not %q", path, f.ClusterID, cfg.ClusterID)
	case f.ReplicaID != cfg.ID:
		return errors.Newf("%s: folder belongs to replica %q, not %q", path, f.ReplicaID, cfg.ID)
	case f.Instance == "":
		return errors.Newf("%s: instance is missing", path)
	}
	return nil
}

// create fills an empty folder. The identity is written last: without it the
// folder was never used, and what an interrupted creation left is replaced.
func (f *folder) create(cfg *Config) error {
	if err := f.checkUnused(cfg); err != nil {
		return err
	}
	f.identity = identity{Version: folderVersion, ClusterID: cfg.ClusterID, ReplicaID: cfg.ID, Instance: newInstance()}
	if len(cfg.Members) > 0 {
		var ms []consensus.Member
		for _, m := range cfg.Members {
			ms = append(ms, consensus.Member{ID: m.ID, Address: m.Address})
		}
		f.saved = consensus.Bootstrap(ms)
	}
	log, err := wal.Create(cfg.FS, cfg.Dir, wal.Contents{State: f.saved.State, Entries: f.saved.Entries})
	if err != nil {
		return err
	}
	f.log = log
	data, err := json.Marshal(f.identity)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	return disk.WriteFile(cfg.FS, filepath.Join(cfg.Dir, identityName), append(data, '\n'))
}

// checkUnused refuses a folder whose identity was lost but whose log was used.
func (f *folder) checkUnused(cfg *Config) error {
	exists, err := wal.Exists(cfg.FS, cfg.Dir)
	if err != nil || !exists {
		return err
	}
	log, c, err := wal.Open(cfg.FS, cfg.Dir)
	if err != nil {
		return err
	}
	log.Close()
	if c.State.Vote != "" || c.State.Term > 1 || c.Base.Index > 0 {
		return errors.Newf("%s: folder has a used log but no %s", cfg.Dir, identityName)
	}
	return nil
}

func newInstance() string {
	b := make([]byte, 12)
	rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// recover reads the snapshot and the log and makes them agree.
func (f *folder) recover(cfg *Config) error {
	meta, state, damaged, err := f.snaps.Latest()
	for _, d := range damaged {
		cfg.Logger.Error().Err(d).Str("step", "recover").Msg("snapshot is damaged; trying an older one")
	}
	if err != nil && !errors.Is(err, snapshot.ErrNone) {
		return err
	}
	log, c, err := wal.Open(cfg.FS, cfg.Dir)
	if err != nil {
		return err
	}
	f.log, f.state = log, state
	if n := log.TornBytes(); n > 0 {
		cfg.Logger.Warn().Int("bytes", n).Str("step", "recover").Msg("dropped an incomplete record at the end of the log")
	}
	if meta.Last.Index < c.Base.Index {
		return errors.Newf("%s: log starts after entry %d but the latest valid snapshot is at %d",
			cfg.Dir, c.Base.Index, meta.Last.Index)
	}
	if !holds(c, meta.Last) {
		// The replica stopped between the installation of a received snapshot
		// and the restart of the log after it.
		c = wal.Contents{State: c.State, Base: meta.Last}
		c.State.Commit = meta.Last.Index
		if err := log.Rewrite(c); err != nil {
			return err
		}
	}
	f.saved = consensus.PersistedState{State: c.State, Snapshot: meta, Base: c.Base, Entries: c.Entries}
	return nil
}

// holds reports whether the log has the entry at m, or starts after it.
func holds(c wal.Contents, m consensus.Position) bool {
	if m.Index == c.Base.Index {
		return m.Term == c.Base.Term
	}
	i := m.Index - c.Base.Index - 1
	return i < uint64(len(c.Entries)) && c.Entries[i].Term == m.Term
}
