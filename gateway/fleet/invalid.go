package fleet

// logInvalid writes a line if the reason why a row names no endpoint is new.
func (f *Fleet) logInvalid(row Row, err error) {
	if f.invalid.Changed(row.Key, err.Error()) {
		log.Info("An invalid endpoint row was ignored.", "row", row.Key, "version", row.Version, "reason", err.Error(), "invalid_rows", f.invalid.Len())
	}
}

// InvalidRows returns the number of rows that name no endpoint.
func (f *Fleet) InvalidRows() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.invalid.Len()
}
