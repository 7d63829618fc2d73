package syslog

import (
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/leodido/go-syslog/v4/rfc5424"
)

// attrs are a decision's, as the pilot writes one.
func attrs(i int) []slog.Attr {
	return []slog.Attr{Kind("line"), slog.Group("decision", slog.String("pilot", "pilot-0"), slog.Uint64("run", 1796133516856301), slog.Uint64("seq", uint64(i)),
		slog.Int64("at", int64(i)*1000), Reason("eased"), slog.String("node", "e3304433030"), slog.String("table", "t3"), slog.Uint64("version", 31),
		slog.String("weight", "1.491"), slog.String("value", "92.7"), slog.String("limit", "89.12"))}
}

// A record from slog to the queue, beside the standard library's JSON handler and the builder of a syslog library (which is
// given its values as text).
func BenchmarkRecord(b *testing.B) {
	b.Run("ours", func(b *testing.B) {
		s, err := Start(Config{Network: "tcp", Address: "127.0.0.1:1", Buffer: 1000}, quiet, 1, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer s.stop()
		l := slog.New(NewHandler(s, Identity{App: "vetchdoor-pilot", Host: "h", Rate: 1e9}))
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			l.LogAttrs(b.Context(), slog.LevelInfo, "line of a table", attrs(i)...)
		}
	})
	b.Run("slog JSON", func(b *testing.B) {
		l := slog.New(slog.NewJSONHandler(io.Discard, nil))
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			l.LogAttrs(b.Context(), slog.LevelInfo, "line of a table", attrs(i)...)
		}
	})
	b.Run("builder", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			m := &rfc5424.SyslogMessage{}
			m.SetPriority(30).SetVersion(1).SetTimestamp(time.Now().Format("2006-01-02T15:04:05.000000Z07:00")).SetHostname("h").SetAppname("vetchdoor-pilot").
				SetProcID("1").SetMsgID("line").SetMessage("line of a table")
			const id = "decision@32473"
			for _, p := range [][2]string{{"pilot", "pilot-0"}, {"run", "1796133516856301"}, {"seq", strconv.Itoa(i)}, {"at", strconv.Itoa(i * 1000)}, {"reason", "eased"},
				{"node", "e3304433030"}, {"table", "t3"}, {"version", "31"}, {"weight", "1.491"}, {"value", "92.7"}, {"limit", "89.12"}} {
				m.SetParameter(id, p[0], p[1])
			}
			if _, err := m.String(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("message alone", func(b *testing.B) {
		m := Message{Facility: Daemon, Severity: Informational, Time: time.Now(), Host: "h", App: "vetchdoor-pilot", Proc: "1", MsgID: "line", Text: "line of a table",
			StructuredData: []Element{{ID: "decision@32473"}}}
		for i := range 11 {
			m.StructuredData[0].Params = append(m.StructuredData[0].Params, Param{fmt.Sprint("name", i), "12345.678"})
		}
		out := make([]byte, 0, 1000)
		b.ReportAllocs()
		for b.Loop() {
			out = m.Append(out[:0], 8192)
		}
	})
}
