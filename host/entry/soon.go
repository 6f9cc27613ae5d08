package entry

// SyncSoon asks for a sync before its period, because the control hosts have
// something new.
func (h *Host) SyncSoon() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}
