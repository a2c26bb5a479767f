package sharing

import (
	"encoding/gob"
	"net"
	"testing"
	"time"
)

// startWithRows starts a node that knows the given number of engines.
func startWithRows(t *testing.T, rows int) (address string) {
	t.Helper()
	answerer := newFakeNode()
	answerer.documents = Documents{RoutesVersion: 9, Routes: []byte("routes"), Rows: newFakeTable(rows).rows}
	address = freeAddress(t)
	start(t, answerer, address)
	return address
}

// sendQuestion sends a question to a node and leaves the answer unread on the returned connection.
func sendQuestion(t *testing.T, address string) net.Conn {
	t.Helper()
	connection := dial(t, address)
	if err := gob.NewEncoder(connection).Encode(ask{Question: &Question{RoutesVersion: 3, RowsSince: 7}}); err != nil {
		t.Fatal(err)
	}
	return connection
}

func receiveDocuments(t *testing.T, connection net.Conn) Documents {
	t.Helper()
	var response answer
	if err := gob.NewDecoder(connection).Decode(&response); err != nil {
		t.Fatal(err)
	}
	return *response.Documents
}

// Guards against memory exhaustion of seeds when a whole fleet restarts. All 985 nodes restarted at once
// and asked a seed for the routes and all 10,000 engines four times a second. Three nodes, most likely
// seeds, died 4.3 to 5.0 s after their start without a log line, most likely for lack of memory, since an
// answer with 10,000 rows takes 5.4 MB while it is encoded. The copies that 25 nodes each waited for were
// lost with them. Of concurrent answers one or two have the rows, and all have the routes.
func TestFewOfManyAnswersAtOnceAreLarge(t *testing.T) {
	const askers, rows = 31, 10_000
	address, began := startWithRows(t, rows), time.Now()
	connections := make([]net.Conn, 0, askers)
	for range askers {
		connections = append(connections, sendQuestion(t, address))
	}
	whole := 0
	for _, connection := range connections {
		got := receiveDocuments(t, connection)
		if string(got.Routes) != "routes" {
			t.Errorf("answer with version %d lacks the routes", got.RoutesVersion)
		}
		if len(got.Rows) == rows {
			whole++
		}
	}
	if most := 1 + int(time.Since(began)/largeAnswerInterval); whole == 0 || whole > most {
		t.Errorf("%d of %d answers have the rows, want 1 to %d", whole, askers, most)
	}
}

// A node that got no rows gets them when it asks again, and small answers always have their rows.
func TestRowsAreSentWhenAskedAgain(t *testing.T) {
	many, few := startWithRows(t, largeAnswerRows), startWithRows(t, largeAnswerRows-1)
	for asked := range 3 {
		if got := receiveDocuments(t, sendQuestion(t, few)); len(got.Rows) != largeAnswerRows-1 {
			t.Errorf("question %d: small answer has %d rows", asked, len(got.Rows))
		}
		if got := receiveDocuments(t, sendQuestion(t, many)); len(got.Rows) != largeAnswerRows {
			t.Errorf("question %d: large answer has %d rows", asked, len(got.Rows))
		}
		time.Sleep(largeAnswerInterval)
	}
}
