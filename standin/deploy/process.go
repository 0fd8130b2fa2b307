package deploy

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take to exit after SIGTERM. It is above the
// shutdown timeout of a host.
const stopTimeout = 40 * time.Second

// process is a child process.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{} // closed when the process has exited
	err  error         // the result of Wait, valid once done is closed
}

// starts carries functions to a thread that never ends. Linux sends the parent-death
// signal of a child when the thread that started the child ends.
var starts = sync.OnceValue(func() chan<- func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range queue {
			start()
		}
	}()
	return queue
})

// startProcess starts a program whose output is appended to the file NAME.log in the
// folder logs. The system kills the program when this process ends.
func startProcess(logs, name, program string, args ...string) (*process, error) {
	file, err := os.OpenFile(filepath.Join(logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(program, args...), log: file, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Join(err, file.Close())
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// ended reports whether the process has exited.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill sends SIGKILL, unless the process has exited, and waits until it has exited.
func (p *process) kill() error {
	err := p.cmd.Process.Kill()
	<-p.done
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop sends SIGTERM and waits until the process has exited. After stopTimeout it
// kills the process and returns an error.
func (p *process) stop() error {
	defer p.log.Close()
	if p.ended() {
		return nil
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		return errors.Join(fmt.Errorf("%s did not stop within %v", p.name, stopTimeout), p.kill())
	}
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// freeAddresses returns n loopback addresses: with consecutive ports from base on,
// or with ports that are free now if base is 0.
func freeAddresses(n, base int) ([]string, error) {
	var addresses []string
	for i := range n {
		port := 0
		if base > 0 {
			port = base + i
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
