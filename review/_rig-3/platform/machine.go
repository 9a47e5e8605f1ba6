package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Roles of the deploy file.
const (
	roleController = "controller"
	roleGateway    = "gateway"
)

// zones are those of agam-muestreo, each in a region of its own.
var zones = []string{"centro", "occidente", "oriente"}

// machine is one machine of the deployment with its process.
type machine struct {
	world  *world
	number int
	role   string
	cmd    *exec.Cmd
	done   chan struct{}
}

// world is the deployment with all that the case has started.
type world struct {
	network network
	program string
	folder  string
	record  *record
	seeds   []string
	// losses is the number of machines of the core that the deployment has to bear at once.
	losses   int
	machines []*machine
}

// zone returns the zone of a machine.
func (m *machine) zone() string { return zones[m.number%len(zones)] }

// disk returns the data folder of a controller.
func (m *machine) disk() string {
	return filepath.Join(m.world.folder, fmt.Sprintf("disk-%d", m.number))
}

// addMachine adds a machine without a process.
func (w *world) addMachine(number int, role string) *machine {
	m := &machine{world: w, number: number, role: role}
	w.machines = append(w.machines, m)
	return m
}

// settings returns the settings file as the platform fills in deploy/host.yaml for a machine of a small deployment.
func (m *machine) settings(bootstrap bool) string {
	n := m.world.network
	seeds, err := json.Marshal(m.world.seeds)
	if err != nil {
		panic(err)
	}
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("host: %q", fmt.Sprintf("%s-%d", m.role, m.number))
	line("ip: %q", n.ip(m.number))
	line("region: %q", m.zone())
	line("data-centre: %q", m.zone()+"-a")
	line("data-centres:")
	for _, z := range zones {
		line("  %q: %q", z+"-a", z)
	}
	line("listen:")
	if m.role == roleGateway {
		line("  callers: %q", n.address(m.number, portCallers))
		line("  ready: %q", n.address(m.number, portReady))
	} else {
		line("  control: %q", n.address(m.number, portControl))
		line("  directory: %q", n.address(m.number, portDirectory))
	}
	line("  metrics: %q", n.address(m.number, portMetrics))
	line("hosts-port: %d", portHosts)
	line("seeds: %s", seeds)
	line("bootstrap: %t", bootstrap)
	if m.role == roleController {
		line("data-folder: %q", m.disk())
	}
	line("memory: %q", "284MiB")
	line("cores: 0.4")
	line("descriptors: 4100")
	line("link-mbps: 1000.0")
	line("tolerated-losses: %d", m.world.losses)
	line("bounds:")
	line("  grace: \"8s\"")
	line("  configuration-in-force: \"2500ms\"")
	line("  order-handover: \"3000ms\"")
	line("  address-lifetime: \"5s\"")
	line("  repeat-ratio: 0.2")
	line("  repeat-slack: 58")
	line("  repeat-window: \"10s\"")
	return b.String()
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	w := m.world
	file := filepath.Join(w.folder, fmt.Sprintf("node-%d.yaml", m.number))
	if err := os.WriteFile(file, []byte(m.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.folder, fmt.Sprintf("log-%d", m.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command(w.program, m.role)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "TOUCANWAY_NODE_FILE=" + file, "GOMAXPROCS=1", "GOGC=100"}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	// No process outlives the case, however that ends.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	w.record.line("%s %d starts, bootstrap %t", m.role, m.number, bootstrap)
	done, cmd := make(chan struct{}), m.cmd
	m.done = done
	go func() {
		defer close(done)
		// The exit status of a killed process is an error.
		_ = cmd.Wait()
	}()
	return nil
}

// kill ends the machine's process with SIGKILL and waits until it has ended.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	// An error means that the process has ended.
	_ = m.cmd.Process.Kill()
	<-m.done
	m.cmd = nil
	m.world.record.line("%s %d is killed", m.role, m.number)
}

// close ends all processes.
func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
}

// sleepUntil returns at a time after the start of the case.
func (w *world) sleepUntil(d time.Duration) { time.Sleep(time.Until(w.record.began.Add(d))) }
