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

// identity is the content of the identity file, which binds a data folder to one
// replica of one cluster.
type identity struct {
	Version   int    `json:"version"`
	ClusterID string `json:"cluster_id"`
	ReplicaID string `json:"replica_id"`
	// Instance is a random id of the data folder. The group records it, so that a
	// replica that lost its data folder cannot rejoin under its old id.
	Instance string `json:"instance"`
}

// dataFolder is an open data folder.
type dataFolder struct {
	identity
	log       *wal.Log
	snaps     *snapshot.Store
	persisted consensus.PersistedState
	// state is the encoded state machine of the snapshot; nil if there is none.
	state []byte
}

// openDataFolder opens or initializes the data folder, which the caller has locked.
func openDataFolder(cfg *Config) (*dataFolder, error) {
	f := &dataFolder{snaps: snapshot.NewStore(cfg.FS, cfg.Dir)}
	if err := completeDiscard(cfg.FS, cfg.Dir); err != nil {
		return nil, err
	}
	if err := disk.RemoveTemp(cfg.FS, cfg.Dir); err != nil {
		return nil, errors.Wrapf(err, "remove temporary files in %s", cfg.Dir)
	}
	data, err := cfg.FS.ReadFile(filepath.Join(cfg.Dir, identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return f, f.create(cfg)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read identity file")
	}
	if err := f.checkIdentity(cfg, data); err != nil {
		return nil, err
	}
	return f, f.recover(cfg)
}

func (f *dataFolder) checkIdentity(cfg *Config, data []byte) error {
	path := filepath.Join(cfg.Dir, identityName)
	if err := json.Unmarshal(data, &f.identity); err != nil {
		return errors.Wrapf(err, "decode identity file %s", path)
	}
	switch {
	case f.Version != folderVersion:
		return errors.Newf("%s: format version %d is not supported, want %d", path, f.Version, folderVersion)
	case f.ClusterID != cfg.ClusterID:
		return errors.Newf("%s: folder belongs to cluster %q, not %q", path, f.ClusterID, cfg.ClusterID)
	case f.ReplicaID != cfg.ID:
		return errors.Newf("%s: folder belongs to replica %q, not %q", path, f.ReplicaID, cfg.ID)
	case f.Instance == "":
		return errors.Newf("%s: field instance is missing", path)
	}
	return nil
}

// create initializes an empty folder. The identity is written last: a folder
// without it was never used, so files of an interrupted initialization can be
// replaced.
func (f *dataFolder) create(cfg *Config) error {
	if err := f.checkLogUnused(cfg); err != nil {
		return err
	}
	f.identity = identity{Version: folderVersion, ClusterID: cfg.ClusterID, ReplicaID: cfg.ID, Instance: newInstance()}
	if len(cfg.Members) > 0 {
		var ms []consensus.Member
		for _, m := range cfg.Members {
			ms = append(ms, consensus.Member{ID: m.ID, Address: m.Address})
		}
		f.persisted = consensus.Bootstrap(ms)
	}
	log, err := wal.Create(cfg.FS, cfg.Dir, wal.Contents{State: f.persisted.State, Entries: f.persisted.Entries})
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

// checkLogUnused returns an error if the log was used, which means that the
// identity file of the folder was lost.
func (f *dataFolder) checkLogUnused(cfg *Config) error {
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
		return errors.Newf("%s: data folder contains a log that was used but no %s", cfg.Dir, identityName)
	}
	return nil
}

func newInstance() string {
	b := make([]byte, 12)
	rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// recover reads the latest valid snapshot and the log. If the log does not
// reach the snapshot, it restarts the log after the snapshot.
func (f *dataFolder) recover(cfg *Config) error {
	meta, state, damaged, err := f.snaps.Latest()
	for _, d := range damaged {
		cfg.Logger.Error().Err(d).Str("step", "recover").Msg("snapshot is damaged; trying an older one")
	}
	if err != nil && !errors.Is(err, snapshot.ErrNoSnapshot) {
		return err
	}
	log, c, err := wal.Open(cfg.FS, cfg.Dir)
	if err != nil {
		return err
	}
	f.log, f.state = log, state
	if n := log.TornBytes(); n > 0 {
		cfg.Logger.Warn().Int("bytes", n).Str("step", "recover").Msg("dropped an incomplete frame at the end of the log")
	}
	if meta.Last.Index < c.Base.Index {
		return errors.Newf("%s: log starts after entry %d but the latest valid snapshot is at %d",
			cfg.Dir, c.Base.Index, meta.Last.Index)
	}
	if !logContains(c, meta.Last) {
		// The replica stopped after it installed a received snapshot and before it
		// restarted the log after the snapshot.
		c = wal.Contents{State: c.State, Base: meta.Last}
		c.State.Commit = meta.Last.Index
		if err := log.Rewrite(c); err != nil {
			return err
		}
	}
	f.persisted = consensus.PersistedState{State: c.State, Snapshot: meta, Base: c.Base, Entries: c.Entries}
	return nil
}

// logContains reports whether the log contains the entry at p or starts right after it.
func logContains(c wal.Contents, p consensus.Position) bool {
	if p.Index == c.Base.Index {
		return p.Term == c.Base.Term
	}
	i := p.Index - c.Base.Index - 1
	return i < uint64(len(c.Entries)) && c.Entries[i].Term == p.Term
}
