package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// startSkew is the time between the starts of two of the three control processes; all start
	// within 0.3 s.
	startSkew = 150 * time.Millisecond
	// killedAfter is when the first one is killed, after its start, and restartedAfter when it is
	// started again.
	killedAfter    = 250 * time.Millisecond
	restartedAfter = 1250 * time.Millisecond
	// formationTime is how long the operator sends its first configuration.
	formationTime = 60 * time.Second
)

// noFormation checks that the first configuration is accepted though one process that serves control
// is killed while the system starts for the first time. The process is started again without
// bootstrap, since only one process starts then, and not the whole system.
func noFormation(l *lab, trouble bool) (bool, error) {
	for host := 1; host <= 3; host++ {
		l.seeds = append(l.seeds, l.address(host, offsetControl))
	}
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(d - time.Since(began)) }
	killed, err := l.start("control", 1)
	if err != nil {
		return false, err
	}
	at(startSkew)
	if _, err := l.start("control", 2); err != nil {
		return false, err
	}
	at(killedAfter)
	if trouble {
		_ = killed.command.Process.Kill()
		<-killed.ended
	}
	at(2 * startSkew)
	if _, err := l.start("control", 3); err != nil {
		return false, err
	}
	if trouble {
		at(restartedAfter)
		l.restarted = true
		if _, err := l.start("control", 1); err != nil {
			return false, err
		}
	}
	text, _ := json.Marshal(map[string]any{"version": 1, "routes": []any{}, "services": []any{}, "limits": map[string]int{}})
	for tries := 1; time.Since(began) < formationTime; tries++ {
		status := l.sendControl(1+tries%3, http.MethodPut, "/config", text)
		l.note("operator: configuration 1 at control %d: %d", 1+tries%3, status)
		if status == http.StatusOK {
			fmt.Printf("accepted after %s\n", time.Since(began).Round(time.Millisecond))
			return false, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	fmt.Printf("not accepted in %s\n", formationTime)
	return true, nil
}
