package engineconn

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"
)

// TestInvalidStatusIsNoResponse guards against a status that a client gets though no engine may answer it,
// and against one that passes for an interim response, after which the real one is awaited.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "001": false, "099": false, "200": true, "299": true, "500": true, "599": true, "600": false, "999": false, "2000": false, "-20": false, "20": false,
	} {
		key := respond(t, fmt.Sprintf("HTTP/1.1 %s X\r\nX-Id: own\r\nContent-Length: 0\r\n\r\n", status))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		exchange, err := New(DefaultConfig()).Do(ctx, key, newRequest())
		if (err == nil) != valid || (err != nil && (!errors.Is(err, ErrBroken) || !errors.Is(err, errMalformed))) {
			t.Errorf("status %s: %v, want a response: %t", status, err, valid)
		}
		if exchange != nil {
			exchange.Close()
		}
		cancel()
	}
}
