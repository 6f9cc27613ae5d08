package entry

// SyncSoon makes the host sync before the next interval is due. It is called
// when the control hosts have a new version of the catalogue or domains.
func (h *Host) SyncSoon() {
	select {
	case h.syncNow <- struct{}{}:
	default:
	}
}
