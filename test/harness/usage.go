package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// clockTick is the unit of processor time in /proc on Linux.
const clockTick = 10 * time.Millisecond

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	const user, system = 11, 12 // field indexes after the name in parentheses
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) <= system {
		return 0, errors.New("read processor time: too few fields in /proc/PID/stat")
	}
	u, err1 := strconv.ParseInt(fields[user], 10, 64)
	s, err2 := strconv.ParseInt(fields[system], 10, 64)
	if err := errors.Join(err1, err2); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(u+s) * clockTick, nil
}

// memoryMB returns a field of /proc/PID/status that holds a size, in MB.
func memoryMB(pid int, field string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		rest, ok := strings.CutPrefix(line, field+":")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err != nil {
			return 0, errors.Wrap(err, "read memory")
		}
		return kilobytes / 1024, nil
	}
	return 0, errors.Errorf("read memory: no %s in /proc/PID/status", field)
}

// ProcessorTimes returns the total processor time of the processes.
func ProcessorTimes(pids []int) (time.Duration, error) {
	var sum time.Duration
	for _, pid := range pids {
		used, err := processorTime(pid)
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// ProcessorTime returns the total processor time of the fleet's daemons.
func (f *Fleet) ProcessorTime() (time.Duration, error) {
	pids := make([]int, 0, len(f.Daemons))
	for _, d := range f.Daemons {
		pids = append(pids, d.Pid())
	}
	return ProcessorTimes(pids)
}

// ResidentMB returns the resident memory of the process, in MB.
func (p *process) ResidentMB() (float64, error) { return memoryMB(p.Pid(), "VmRSS") }

// PeakMB returns the most resident memory that the process has had, in MB.
func (p *process) PeakMB() (float64, error) { return memoryMB(p.Pid(), "VmHWM") }

// OpenDescriptors returns how many descriptors the process has open.
func (p *process) OpenDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	if err != nil {
		return 0, errors.Wrap(err, "read descriptors")
	}
	return len(entries), nil
}
