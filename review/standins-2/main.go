// Command standins-2 is the platform, the engines and the clients of the cases of the second review. A case's script
// starts it and the nodes, and ends them.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// playTime bounds a play.
const playTime = 110 * time.Second

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, folder string, trouble bool) int {
	cases := map[string]func(context.Context, string, bool) (bool, error){
		"upgrade": playUpgrade,
		"weights": playWeights,
		"poison":  playPoison,
		"part":    playPoisonPart,
		"drain":   playDrain,
		"quota":   playQuota,
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	run, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	held, err := run(ctx, folder, trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case held:
		return exitHeld
	default:
		return exitBroken
	}
}
