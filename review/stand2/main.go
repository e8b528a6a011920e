package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(program, recordPath string){
		"watchers-lost":         watchersLost,
		"store-channels-silent": storeChannelsSilent,
		"readers-turned-away":   readersTurnedAway,
		"rank-of-ten":           rankOfTen,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2], os.Args[3])
}
