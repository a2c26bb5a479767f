package engineconn

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestWriterThatIsSlowToReportLosesNoConnection has the answer come before the
// writer has said that the request is out. Connections were closed then, and
// opened anew (TestMetricsTellWhatTheNodeGoesBy, on a busy machine).
func TestWriterThatIsSlowToReportLosesNoConnection(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		err   error
		want  bool
	}{
		{name: "at once", want: true},
		{name: "a moment later", after: writerTime / 2, want: true},
		{name: "it failed", after: writerTime / 2, err: errors.New("reset"), want: false},
		{name: "it still writes", after: time.Hour, want: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				exchange := &Exchange{written: make(chan error, 1)}
				go func() {
					time.Sleep(test.after)
					exchange.written <- test.err
				}()
				if got := exchange.whole(); got != test.want {
					t.Errorf("got %t", got)
				}
				time.Sleep(test.after) // the writer ends before the bubble does
			})
		})
	}
}
