package entry

// CheckFiles has the entry look at once whether its TLS files changed.
func (e *Entry) CheckFiles() {
	for _, r := range []interface{ Check() }{e.security.callers, e.security.processes} {
		r.Check()
	}
}
