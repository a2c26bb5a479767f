package fleet

import (
	"context"
	"testing"
)

func TestCutClosesEverythingForGood(t *testing.T) {
	lost, other := &cuttableNetwork{}, &cuttableNetwork{}
	listener, err := lost.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connection, err := other.Dial(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if _, err := listener.Accept(); err != nil {
		t.Fatal(err)
	}
	lost.cut()
	if _, err := connection.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is open after the cut")
	}
	if _, err := other.Dial(context.Background(), listener.Addr().String()); err == nil {
		t.Error("the listener accepts connections after the cut")
	}
	if _, err := lost.Dial(context.Background(), "127.0.0.1:1"); err == nil {
		t.Error("a cut network opened a connection")
	}
	if _, err := lost.Listen("127.0.0.1:0"); err == nil {
		t.Error("a cut network listens")
	}
}
