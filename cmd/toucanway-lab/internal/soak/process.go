package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one gateway or controller; it is started again after a kill.
type process struct {
	role string
	// name is the host's name, ip its address for other hosts, which a proxy answers; bind is where it listens for them.
	name, ip, bind string
	folder         string
	program        string
	settings       string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	paused  bool
	ending  bool
	unasked []string
	log     bytes.Buffer
}

// ports are the same on all hosts.
type ports struct{ hosts, control, directory, callers, ready int }

// write writes the settings file.
func (p *process) write(ports ports, seeds []string, bootstrap bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host: %s\nip: %s\nregion: r\ndata-centre: z\nhosts-port: %d\nbootstrap: %v\nlisten:\n", p.name, p.ip, ports.hosts, bootstrap)
	if p.role == "controller" {
		fmt.Fprintf(&b, "  control: %s:%d\n  directory: %s:%d\n  hosts: %s:%d\n", p.ip, ports.control, p.ip, ports.directory, p.bind, ports.hosts)
	} else {
		fmt.Fprintf(&b, "  callers: %s:%d\n  ready: %s:%d\n", p.ip, ports.callers, p.ip, ports.ready)
	}
	b.WriteString("seeds:\n")
	for _, s := range seeds {
		fmt.Fprintf(&b, "  - %s:%d\n", s, ports.control)
	}
	if p.role == "controller" {
		fmt.Fprintf(&b, "data-folder: %s\n", p.data())
	}
	b.WriteString("bounds:\n  grace: 5s\n  address-lifetime: 1s\n")
	p.settings = filepath.Join(p.folder, p.name+".yaml")
	return os.WriteFile(p.settings, []byte(b.String()), 0o600)
}

func (p *process) data() string { return filepath.Join(p.folder, p.name) }

// start starts the program unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.program, p.role, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.ending = cmd, exited, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.ending {
			p.unasked = append(p.unasked, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		p.cmd, p.paused = nil, false
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal if the process runs; those that end it are asked for.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL:
		p.ending = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	// A process that has just ended needs no signal.
	_ = p.cmd.Process.Signal(s)
}

// isEnding says whether the process was told to end, or doesn't run.
func (p *process) isEnding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ending || p.cmd == nil
}

// end sends a signal that ends the process and returns a channel that is closed once it has ended.
func (p *process) end(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		done := make(chan struct{})
		close(done)
		return done
	}
	p.signal(s)
	return exited
}

// await returns once a process that was told to end has ended, and kills it after a while, which it reports as false.
func (p *process) await(exited <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-exited:
		return true
	case <-t.C:
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}
