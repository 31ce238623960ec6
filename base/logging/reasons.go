package logging

// Reasons remembers why something was passed over, so that a line is written only when
// the reason changes: what is odd may be written anew each second. It is not safe for
// concurrent use.
type Reasons struct {
	byKey map[string]string
}

// Changed records the reason for a key, and reports whether it is another than before.
func (r *Reasons) Changed(key, reason string) bool {
	if known, ok := r.byKey[key]; ok && known == reason {
		return false
	}
	if r.byKey == nil {
		r.byKey = make(map[string]string)
	}
	r.byKey[key] = reason
	return true
}

// Known reports whether there is a reason for a key.
func (r *Reasons) Known(key string) bool {
	_, ok := r.byKey[key]
	return ok
}

// Forget forgets the reason for a key.
func (r *Reasons) Forget(key string) { delete(r.byKey, key) }

// Keep forgets the reasons for all keys but those for which keep is true.
func (r *Reasons) Keep(keep func(key string) bool) {
	for key := range r.byKey {
		if !keep(key) {
			delete(r.byKey, key)
		}
	}
}

// Len returns the number of keys for which there is a reason.
func (r *Reasons) Len() int { return len(r.byKey) }
