package leader

import "time"

// EntryHosts returns the state of each configured entry host by name.
func (c *Core) EntryHosts(now time.Time) map[string]EntryHost {
	out := make(map[string]EntryHost, len(c.hosts))
	for name, h := range c.hosts {
		out[name] = EntryHost{
			Synced: h.synced, SilentMS: now.Sub(h.lastSync).Milliseconds(),
			CatalogueVersion: h.catalogueVersion, DomainsVersion: h.domainsVersion, Stopping: h.stopping,
		}
	}
	return out
}
