package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

const (
	// malformedBytes is the size of the malformed bodies, below the 64 KiB of the protocol.
	malformedBytes = 64000
	// malformedUsers is the number of users that send one at the same time.
	malformedUsers = 30
)

// playNested lets some users send one malformed submission each at the same time: with the disruption a list in
// a list and so on, otherwise one long list. The platform ends a controller that holds more memory than granted.
func playNested(ctx context.Context, s *stage) (broken string, err error) {
	p := archivePlan()
	if err := s.start(p); err != nil {
		return "", err
	}
	u := s.deployment.users
	if err := u.awaitUp(ctx); err != nil {
		return "", err
	}
	body := append([]byte{0x81, 0xa1, 'x', 0xdc, byte(malformedBytes >> 8), byte(malformedBytes & 0xff)}, bytes.Repeat([]byte{0xc0}, malformedBytes)...)
	if s.trouble {
		body = append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, malformedBytes)...)
		body = append(body, 0xc0)
	}
	watching, stop := context.WithCancel(ctx)
	var platform sync.WaitGroup
	ended := 0
	platform.Go(func() { ended = s.deployment.enforceMemory(watching, 0) })
	for range 5 {
		var group sync.WaitGroup
		for range malformedUsers {
			group.Go(func() {
				status, _ := u.request(ctx, submitTimeout, http.MethodPost, "/api/jobs", body)
				s.record.addf("user: submit %d malformed bytes: %d", len(body), status)
			})
		}
		group.Wait()
		monotonic.Sleep(ctx, 3*time.Second)
	}
	stop()
	platform.Wait()
	if ended > 0 {
		return fmt.Sprintf("%d times a controller held more memory than the %v MB that it is granted, and was ended", ended, p.settings.Resources.RAMMB), nil
	}
	return "", nil
}

// residentMB returns the memory that a process holds, in MB, or 0 if it is not known.
func residentMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}
