package limit

// Flow identifies the requests of one account at one level of priority.
type Flow struct {
	Level   int
	Account string
}

// Tag is the place of a request in the virtual time of its level.
type Tag struct {
	// Start is when the request's service would begin if all waiting accounts were served at the same time,
	// and Finish when it would end.
	Start, Finish float64
}

// Fair hands out the tags of fair queueing. Its users serve requests in the order of their finish tags
// (self-clocked fair queueing) or start tags (start-time fair queueing, which doesn't put a large request
// behind small ones that came later). The zero value is ready to use. It is not safe for concurrent use.
type Fair struct {
	// virtualTime is the virtual time of each level.
	virtualTime map[int]float64
	// lastFinish is the finish tag of the newest request of each flow.
	lastFinish map[Flow]float64
}

// Tag returns the tag of a new request. Cost is its work divided by the weight of its account.
func (f *Fair) Tag(flow Flow, cost float64) Tag {
	if f.lastFinish == nil {
		f.virtualTime, f.lastFinish = make(map[int]float64), make(map[Flow]float64)
	}
	start := max(f.virtualTime[flow.Level], f.lastFinish[flow])
	f.lastFinish[flow] = start + cost
	return Tag{Start: start, Finish: start + cost}
}

// Serve records that a request is served, whose tag in the order of service is the given one.
func (f *Fair) Serve(flow Flow, tag float64) {
	if f.lastFinish == nil {
		return
	}
	f.virtualTime[flow.Level] = max(f.virtualTime[flow.Level], tag)
	f.dropPassed(flow)
}

// Refund undoes the charge to the account for a request that was never served, if it was the newest of
// its flow.
func (f *Fair) Refund(flow Flow, tag Tag) {
	if last, ok := f.lastFinish[flow]; ok && last == tag.Finish {
		f.lastFinish[flow] = tag.Start
	}
	f.dropPassed(flow)
}

// Reset forgets all tags. Users call it when nothing waits, so that an account isn't charged for capacity
// that nobody else asked for.
func (f *Fair) Reset() {
	clear(f.virtualTime)
	clear(f.lastFinish)
}

// dropPassed deletes the finish tag of the flow once virtual time has reached it.
func (f *Fair) dropPassed(flow Flow) {
	if f.lastFinish[flow] <= f.virtualTime[flow.Level] {
		delete(f.lastFinish, flow)
	}
}
