package ticket

// answers bounds the bytes of all kept answers.
type answers struct {
	limit int
	bytes int
	kept  fifo[*entry]
}

// add counts an ended call's answer and drops the oldest ones while there are
// too many bytes.
func (a *answers) add(en *entry) {
	if len(en.result.Body) == 0 {
		return
	}
	a.bytes += len(en.result.Body)
	a.kept.push(en)
	for a.bytes > a.limit {
		oldest, _ := a.kept.first()
		a.remove(oldest)
	}
}

// remove drops a ticket's answer, if there is one.
func (a *answers) remove(en *entry) {
	a.bytes -= en.drop()
	a.trim()
}

// trim shortens the list by the dropped answers at its front.
func (a *answers) trim() {
	for {
		oldest, ok := a.kept.first()
		if !ok || !oldest.answerDropped {
			return
		}
		a.kept.pop()
	}
}
