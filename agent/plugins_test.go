package agent

import _ "github.com/wardspool/wardspool/plugins/platform/http" // platform.http
