package sharing

import (
	"encoding/gob"
	"net"
	"testing"
	"time"
)

// startWithMany starts a node that knows many engines.
func startWithMany(t *testing.T, rows int) (address string) {
	t.Helper()
	answerer := newLocal()
	answerer.documents = Documents{RoutesVersion: 9, Routes: []byte("routes"), Rows: newListed(rows).rows}
	address = freeAddress(t)
	start(t, answerer, address)
	return address
}

// question asks a node what it knows; the answer waits on the way.
func question(t *testing.T, address string) net.Conn {
	t.Helper()
	connection := dial(t, address)
	if err := gob.NewEncoder(connection).Encode(ask{Question: &Question{RoutesVersion: 3, RowsSince: 7}}); err != nil {
		t.Fatal(err)
	}
	return connection
}

func documentsOn(t *testing.T, connection net.Conn) Documents {
	t.Helper()
	var told answer
	if err := gob.NewDecoder(connection).Decode(&told); err != nil {
		t.Fatal(err)
	}
	return *told.Documents
}

// All 985 nodes of a fleet started again together and knew no other node. Each asked a seed for the
// routes and all 10,000 engines four times a second. Three nodes, most likely seeds, ended 4.3 to
// 5.0 s after their start without a word in their logs, and with them the copies that 25 nodes each
// waited for: most likely for their memory, since an answer of 10,000 rows takes 5.4 MB while it
// is made. Of answers that are asked for at once one or two have the rows; all have the routes.
func TestFewOfManyAnswersAtOnceAreLarge(t *testing.T) {
	const askers, rows = 31, 10_000
	address, began := startWithMany(t, rows), time.Now()
	connections := make([]net.Conn, 0, askers)
	for range askers {
		connections = append(connections, question(t, address))
	}
	whole := 0
	for _, connection := range connections {
		got := documentsOn(t, connection)
		if string(got.Routes) != "routes" {
			t.Errorf("an answer without the routes: version %d", got.RoutesVersion)
		}
		if len(got.Rows) == rows {
			whole++
		}
	}
	if most := 1 + int(time.Since(began)/largeEvery); whole == 0 || whole > most {
		t.Errorf("%d of %d answers have the rows, at most %d wanted", whole, askers, most)
	}
}

// Who got no rows gets them when it asks again, and small answers are never let go without theirs.
func TestRowsComeWhenAskedAgain(t *testing.T) {
	many, few := startWithMany(t, manyRows), startWithMany(t, manyRows-1)
	for asked := range 3 {
		if got := documentsOn(t, question(t, few)); len(got.Rows) != manyRows-1 {
			t.Errorf("question %d: %d rows", asked, len(got.Rows))
		}
		if got := documentsOn(t, question(t, many)); len(got.Rows) != manyRows {
			t.Errorf("question %d: %d rows of many", asked, len(got.Rows))
		}
		time.Sleep(largeEvery)
	}
}
