// Command standins plays the platform, the engines and the clients of a case of the review. It writes settings of nodes into
// a folder, and the file "start" once a script may start them. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// limit is the longest that a case may take.
const limit = 110 * time.Second

var cases = map[string]func(ctx context.Context, f *fleet, trouble bool) error{
	"silent-engines": silentEngines,
	"mass-loss":      massLoss,
	"two-versions":   twoVersions,
	"oversized":      oversized,
	"moved-route":    movedRoute,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER RECORD")
		return 2
	}
	log, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(os.Args[2], log)
	if err != nil {
		log.say("the case could not run: %v", err)
		return 2
	}
	defer f.close()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	log.note("case %s, with the disruption: %t", os.Args[1], trouble)
	err = cases[os.Args[1]](ctx, f, trouble)
	switch {
	case errors.Is(err, errBroken):
		log.say("BROKEN: %v", err)
		return 1
	case err != nil:
		log.say("the case could not run: %v", err)
		return 2
	default:
		log.say("the rule held")
		return 0
	}
}
