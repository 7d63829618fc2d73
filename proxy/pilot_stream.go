package proxy

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"vetchdoor/runtime"
	"vetchdoor/stream"
)

// Reasons for which what a pilot sends is refused; they are sent to it.
var (
	errSecondWelcome = errors.New("a second welcome")
	errNotWelcomed   = errors.New("a message before the welcome")
	errWindow        = errors.New("more lines than the window")
)

// pilotStream is one stream to a pilot: it receives commands and queues messages for applyQueued. Data and Closed are called by
// the connection.
type pilotStream struct {
	orders   *orders
	closed   chan struct{}         // closed as the stream ends
	welcomed chan struct{}         // closed with the welcome
	queue    chan *runtime.Message // received, not yet applied

	// Used by Data alone, and by applyQueued for messages that come after the welcome.
	scanner  *runtime.Scanner
	refused  bool // the pilot sent what cannot be taken: nothing more is
	welcome  runtime.Welcome
	redirect string // the address of another pilot that this one named; under orders.mu

	mu           sync.Mutex
	conn         *stream.Conn
	queuedLines  int
	lastReceived time.Time
}

func newPilotStream(o *orders) *pilotStream {
	return &pilotStream{
		orders:       o,
		closed:       make(chan struct{}),
		welcomed:     make(chan struct{}),
		queue:        make(chan *runtime.Message, queueLength),
		scanner:      runtime.NewScanner(runtime.StreamBounds),
		lastReceived: time.Now(),
	}
}

// setConn notes the connection. The dialler does so, and join: a pilot may speak before the dial has returned.
func (s *pilotStream) setConn(conn *stream.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// silence is how long nothing has come.
func (s *pilotStream) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastReceived)
}

func (s *pilotStream) noteReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = time.Now()
}

// Closed notes that the stream ended.
func (s *pilotStream) Closed(*stream.Conn) { close(s.closed) }

// Data takes in what the pilot sends. After the first command that is refused, which ends the stream, it takes nothing more.
func (s *pilotStream) Data(c *stream.Conn, b []byte) {
	s.noteReceived()
	if s.refused {
		return
	}
	s.scanner.Feed(b)
	for {
		line, ok, err := s.scanner.Next()
		if err == nil && !ok {
			return
		}
		if err == nil {
			err = s.handle(c, line[0])
		}
		if err != nil {
			s.refuse(c, err)
			return
		}
	}
}

// refuse tells the pilot why it is not listened to any more, and ends the stream.
func (s *pilotStream) refuse(c *stream.Conn, err error) {
	s.orders.log.Warn("pilot sent what cannot be taken; the stream is closed", "error", err)
	s.refused = true
	_ = c.Send(runtime.Refused{Reason: err.Error()}.Append(nil))
	c.CloseGracefully()
}

func (s *pilotStream) handle(c *stream.Conn, cmd runtime.Command) error {
	switch {
	case cmd.HasPrefix("welcome"):
		return s.handleWelcome(c, cmd)
	case cmd.HasPrefix("refused"), cmd.HasPrefix("away"):
		return s.handleGoAway(c, cmd)
	case cmd.HasPrefix("send", "tables"):
		return s.handleAsk(c, cmd)
	case cmd.HasPrefix("ping"):
		return nil // Data has noted that something came
	case cmd.HasPrefix("apply"):
		return s.handleMessage(cmd)
	case s.welcome.Wire > runtime.Wire:
		s.orders.log.Debug("a command of a later version is passed over", "command", cmd.String())
		return nil
	}
	return fmt.Errorf("not a command of a pilot's stream: %s", cmd)
}

func (s *pilotStream) handleWelcome(c *stream.Conn, cmd runtime.Command) error {
	welcome, err := runtime.ParseWelcome(cmd)
	if err != nil {
		return err
	}
	if isClosed(s.welcomed) {
		return errSecondWelcome
	}
	if s.orders.join(s, c, welcome) {
		s.orders.log.Info("joined a pilot", "pilot", welcome.Pilot, "run", welcome.Run, "resumed", welcome.Resumed)
	}
	return nil
}

func (s *pilotStream) handleGoAway(c *stream.Conn, cmd runtime.Command) error {
	away, err := runtime.ParseGoAway(cmd)
	if err != nil {
		return err
	}
	s.orders.mu.Lock()
	s.redirect = away.Redirect
	s.orders.mu.Unlock()
	s.orders.log.Info("sent away by the pilot", "reason", away.Reason, "try", away.Redirect)
	c.Close()
	return nil
}

// handleAsk sends the lines of the tables that the pilot asks for; of those that are not held any more it says nothing.
func (s *pilotStream) handleAsk(c *stream.Conn, cmd runtime.Command) error {
	ask, err := runtime.ParseAsk(cmd)
	if err != nil {
		return err
	}
	held := s.orders.proxy.now.Load()
	for _, digest := range ask {
		if table := held.holding(digest); table != nil {
			holding := runtime.Holding{Digest: digest, Lines: table.content()}
			_ = c.Send(holding.Append(nil))
		}
	}
	return nil
}

// handleMessage queues a message to be applied.
func (s *pilotStream) handleMessage(cmd runtime.Command) error {
	if !isClosed(s.welcomed) {
		return errNotWelcomed
	}
	m, err := runtime.ParseMessage(cmd)
	if err != nil {
		return err
	}
	if !s.reserve(m.Lines) {
		return errWindow
	}
	select {
	case s.queue <- m:
		return nil
	default:
		return errWindow
	}
}

// reserve takes lines of the window for a message; false if they are not free.
func (s *pilotStream) reserve(lines int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedLines > 0 && s.queuedLines+lines > windowLines {
		return false
	}
	s.queuedLines += lines
	return true
}

// free gives back the lines of a message that has been applied.
func (s *pilotStream) free(lines int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedLines -= lines
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
