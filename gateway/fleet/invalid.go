package fleet

import "flamingospar.org/platform/site"

// compact returns the row in the form in which it is kept and passed on. Rows that other
// writers left may be many and as large as the store accepts.
func (r Row) compact() Row {
	r.Value = site.CompactEndpointRow(r.Key, r.Value)
	return r
}

// logInvalid writes a line if the reason why a row names no endpoint is new. A row that
// was passed on without its value adds no reason to the one that is known.
func (f *Fleet) logInvalid(row Row, err error) {
	if len(row.Value) == 0 && f.invalid.Known(row.Key) {
		return
	}
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
