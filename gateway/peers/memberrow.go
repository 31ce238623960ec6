package peers

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
)

// maxNameBytes bounds the names of a listed process.
const maxNameBytes = 200

// Errors of rows that describe no entry process. They contain no values of the row, which
// may be large.
var (
	errNotJSON    = errors.New("it is no JSON object of a process; remedy: remove the row")
	errOtherVM    = errors.New("it names another VM than its key; remedy: remove the row")
	errNoInstance = errors.New("its instance or data centre is missing or too long; remedy: remove the row")
	errOddAddress = errors.New("its address is no host and port; remedy: remove the row")
)

// parseMember decodes a row of the list. Other writers may have stored any data.
func parseMember(key string, data []byte) (Member, error) {
	var member Member
	if err := json.Unmarshal(data, &member); err != nil {
		return Member{}, errNotJSON
	}
	if key == "" || member.VM != key {
		return Member{}, errOtherVM
	}
	if member.Instance == "" || len(member.Instance) > maxNameBytes || len(member.DataCentre) > maxNameBytes {
		return Member{}, errNoInstance
	}
	host, port, err := net.SplitHostPort(member.Address)
	if err != nil || host == "" || len(host) > maxNameBytes {
		return Member{}, errOddAddress
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return Member{}, errOddAddress
	}
	return member, nil
}
