package entry

// CheckFiles makes the entry check immediately whether its TLS files have changed.
func (e *Entry) CheckFiles() {
	for _, r := range []interface{ Check() }{e.security.callers, e.security.processes} {
		r.Check()
	}
}
