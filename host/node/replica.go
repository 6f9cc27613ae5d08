package node

import (
	"github.com/cockroachdb/errors"

	"gooseberrypond/host/config"
	"gooseberrypond/store/replica"
)

// replicaConfig returns the configuration of the replica. The initial members are
// the control hosts that are not marked as joining in the settings. A joining
// replica starts without members and waits until it is added as a learner.
func (n *Node) replicaConfig() (replica.Config, error) {
	s, self := n.settings, n.settings.Self()
	tlsConfig, err := s.Listeners.Peer.TLS.PeerConfig()
	if err != nil {
		return replica.Config{}, errors.Wrap(err, "listeners.peer.tls")
	}
	cfg := replica.Config{
		ID:              replicaID(self),
		ClusterID:       s.ClusterID,
		Dir:             n.dataFolder(),
		Listen:          self.Peer,
		Advertise:       self.Peer,
		TLS:             tlsConfig,
		Port:            n.port("peer"),
		Logger:          n.log.With().Str("part", "replica").Logger(),
		SnapshotEntries: s.Limits.SnapshotEntries,
	}
	if n.hooks.Transport != nil {
		if cfg.Transport, err = n.hooks.Transport(cfg); err != nil {
			return replica.Config{}, err
		}
	}
	if self.Joining {
		return cfg, nil
	}
	for _, h := range s.With(config.RoleControl) {
		if !h.Joining {
			cfg.Members = append(cfg.Members, replica.Member{ID: replicaID(h), Address: h.Peer})
		}
	}
	return cfg, nil
}
