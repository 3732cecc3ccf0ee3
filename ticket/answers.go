package ticket

// answers limits the total size of the answers that are kept for replay.
type answers struct {
	limit int
	bytes int
	queue fifo[*entry]
}

// add adds the answer of an ended call and drops the oldest answers while the
// total size exceeds the limit.
func (a *answers) add(en *entry) {
	if len(en.result.Body) == 0 {
		return
	}
	a.bytes += len(en.result.Body)
	a.queue.push(en)
	for a.bytes > a.limit {
		oldest, _ := a.queue.first()
		a.remove(oldest)
	}
}

// remove drops the answer of a ticket, if there is one.
func (a *answers) remove(en *entry) {
	a.bytes -= en.dropAnswer()
	a.trim()
}

// trim removes dropped answers from the front of the queue.
func (a *answers) trim() {
	for {
		oldest, ok := a.queue.first()
		if !ok || !oldest.answerDropped {
			return
		}
		a.queue.pop()
	}
}
