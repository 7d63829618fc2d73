package syslog

import "sync"

// record is a message that is written out and waits.
type record struct {
	severity Severity
	number   uint64 // in the order in which they were made
	text     []byte
}

// queue holds records in the order in which they were made, no more than its bounds. Where there is no room the least grave
// goes, the oldest of those; what is the least grave itself is not taken. Nobody waits on it.
type queue struct {
	mu       sync.Mutex
	by       [Debug + 1][]record // the oldest first
	count    int
	bytes    int
	most     int // records
	mostSize int // bytes
	number   uint64
	dropped  [Debug + 1]uint64
	made     uint64
	wake     chan struct{} // holds one if something came since it was last emptied
}

func newQueue(most, mostSize int) *queue {
	return &queue{most: most, mostSize: mostSize, wake: make(chan struct{}, 1)}
}

// put takes a record in, or drops what is least grave.
func (q *queue) put(s Severity, text []byte) {
	q.mu.Lock()
	q.made++
	q.number++
	q.add(record{s, q.number, text})
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) add(r record) {
	q.by[r.severity] = append(q.by[r.severity], r)
	q.count, q.bytes = q.count+1, q.bytes+len(r.text)
	for s := Debug; q.count > q.most || q.bytes > q.mostSize; {
		if len(q.by[s]) == 0 {
			s--
			continue
		}
		q.pop(s)
		q.dropped[s]++
	}
}

func (q *queue) pop(s Severity) record {
	r := q.by[s][0]
	q.by[s][0] = record{}
	if q.by[s] = q.by[s][1:]; len(q.by[s]) == 0 {
		q.by[s] = nil
	}
	q.count, q.bytes = q.count-1, q.bytes-len(r.text)
	return r
}

// oldest is the severity whose first record is the oldest; below 0: there is none.
func (q *queue) oldest() int {
	at := -1
	for s := range q.by {
		if len(q.by[s]) > 0 && (at < 0 || q.by[s][0].number < q.by[at][0].number) {
			at = s
		}
	}
	return at
}

// take takes the oldest out.
func (q *queue) take() (record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := q.oldest(); at >= 0 {
		return q.pop(Severity(at)), true
	}
	return record{}, false
}

// back puts a record back that was taken and not sent. It is the oldest, so it goes to the front.
func (q *queue) back(r record) {
	q.mu.Lock()
	q.by[r.severity] = append([]record{r}, q.by[r.severity]...)
	q.count, q.bytes = q.count+1, q.bytes+len(r.text)
	q.mu.Unlock()
}

// full tells whether so great a part of it is taken that some should be put elsewhere.
func (q *queue) full() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return 4*q.count >= 3*q.most || 4*q.bytes >= 3*q.mostSize
}

// drop counts a record as dropped that was taken out.
func (q *queue) drop(s Severity) {
	q.mu.Lock()
	q.dropped[s]++
	q.mu.Unlock()
}

// lost returns how many were dropped, by severity.
func (q *queue) lost() [Debug + 1]uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}
