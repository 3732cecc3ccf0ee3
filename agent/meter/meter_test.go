package meter

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadProcess(t *testing.T) {
	block := make([]byte, 64<<20)
	for i := 0; i < len(block); i += 4096 {
		block[i] = 1
	}
	p := ReadProcess()
	assert.Assert(t, p.CPU > 0)
	assert.Assert(t, p.RSS > 64<<20 && p.PeakRSS >= p.RSS, "%+v", p)
	assert.Equal(t, block[4096], byte(1))
}

func TestMeter(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.CopyN(c, c, 5)
			_ = c.Close()
		}
	}()
	var m Meter
	c, err := m.CountingDialer(&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("hello"))
	assert.NilError(t, err)
	_, err = io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, m.Sent(), uint64(5))
	assert.Equal(t, m.Received(), uint64(5))
	assert.Equal(t, m.Total(), uint64(10))
}
