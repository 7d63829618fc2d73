package syslog

import "sync"

// record is a formatted message that waits to be sent.
type record struct {
	severity Severity
	number   uint64 // position in the order of creation
	text     []byte
}

// queue holds records in the order of their creation, limited in number and in bytes. When a limit is exceeded the
// oldest record of the lowest severity is dropped, which may be the record just added. Adding never blocks.
type queue struct {
	mu         sync.Mutex
	bySeverity [Debug + 1][]record // the oldest record of each severity first
	count      int
	bytes      int
	maxRecords int // limit on the number of records
	maxBytes   int // limit on the total size, in bytes
	lastNumber uint64
	dropped    [Debug + 1]uint64
	logged     uint64
	wake       chan struct{} // capacity 1; signals that a record was added
}

func newQueue(maxRecords, maxBytes int) *queue {
	return &queue{maxRecords: maxRecords, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// put adds a record and drops records of the lowest severity while a limit is exceeded.
func (q *queue) put(s Severity, text []byte) {
	q.mu.Lock()
	q.logged++
	q.lastNumber++
	q.add(record{s, q.lastNumber, text})
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) add(r record) {
	q.bySeverity[r.severity] = append(q.bySeverity[r.severity], r)
	q.count, q.bytes = q.count+1, q.bytes+len(r.text)
	for s := Debug; q.count > q.maxRecords || q.bytes > q.maxBytes; {
		if len(q.bySeverity[s]) == 0 {
			s--
			continue
		}
		q.pop(s)
		q.dropped[s]++
	}
}

func (q *queue) pop(s Severity) record {
	r := q.bySeverity[s][0]
	q.bySeverity[s][0] = record{}
	if q.bySeverity[s] = q.bySeverity[s][1:]; len(q.bySeverity[s]) == 0 {
		q.bySeverity[s] = nil
	}
	q.count, q.bytes = q.count-1, q.bytes-len(r.text)
	return r
}

// oldestSeverity returns the severity whose first record is the oldest of the queue; -1 if the queue is empty.
func (q *queue) oldestSeverity() int {
	oldest := -1
	for s := range q.bySeverity {
		if len(q.bySeverity[s]) > 0 && (oldest < 0 || q.bySeverity[s][0].number < q.bySeverity[oldest][0].number) {
			oldest = s
		}
	}
	return oldest
}

// takeOldest removes and returns the oldest record; false if the queue is empty.
func (q *queue) takeOldest() (record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if oldest := q.oldestSeverity(); oldest >= 0 {
		return q.pop(Severity(oldest)), true
	}
	return record{}, false
}

// requeue puts back a record that was taken and not sent. It is the oldest of its severity, so it goes to the front. It
// may exceed the limits until the next put.
func (q *queue) requeue(r record) {
	q.mu.Lock()
	q.bySeverity[r.severity] = append([]record{r}, q.bySeverity[r.severity]...)
	q.count, q.bytes = q.count+1, q.bytes+len(r.text)
	q.mu.Unlock()
}

// nearlyFull reports whether three quarters of either limit are used, from when on records are moved to the spool.
func (q *queue) nearlyFull() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return 4*q.count >= 3*q.maxRecords || 4*q.bytes >= 3*q.maxBytes
}

// drop counts a record, already taken out of the queue, as dropped.
func (q *queue) drop(s Severity) {
	q.mu.Lock()
	q.dropped[s]++
	q.mu.Unlock()
}

// droppedBySeverity returns the number of dropped records by severity.
func (q *queue) droppedBySeverity() [Debug + 1]uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}
