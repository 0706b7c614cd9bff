package batch

// Wait is a queued request.
type Wait struct {
	pool   *Pool
	waiter *waiter
}

// Admit grants or refuses a request at once, or returns its place in the queue.
func (p *Pool) Admit(request AdmissionRequest) (*Wait, *Grant, error) {
	w, grant, err := p.admit(request)
	if w == nil {
		return nil, grant, err
	}
	return &Wait{pool: p, waiter: w}, nil, nil
}

// Result returns the grant of a request that has waited, or its refusal once it has waited for too long. Both
// are nil while it waits.
func (w *Wait) Result() (*Grant, error) {
	select {
	case g := <-w.waiter.granted:
		return g, nil
	default:
	}
	if w.pool.options.Clock.Now().Before(w.waiter.request.WaitUntil) {
		return nil, nil
	}
	return w.pool.cancelWait(w.waiter, ReasonBusy)
}
