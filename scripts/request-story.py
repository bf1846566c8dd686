#!/usr/bin/env python3
"""Prints the story of one request from the structured logs of several processes, in order of time.

Usage: request-story.py REQUEST_ID LOG...

Lines of the request are printed whole. Between them stand the lines about the endpoints that it was sent to, from ten
seconds before its first line to its last. Text before the JSON object of a line, such as a host name, is kept.
"""
import json
import sys

CONTEXT_MS = 10_000  # the window of the budget of extra sends
ENDPOINT_EVENTS = {"endpoint_entry", "endpoint_removed", "endpoint_paused", "endpoint_crashed", "health_changed"}


def read_lines(paths):
    for path in paths:
        with open(path, errors="replace") as file:
            for text in file:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue
                if isinstance(line, dict) and "t" in line and "event" in line:
                    yield line, text[:start].strip() or path


def main(arguments):
    if len(arguments) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    request, paths = arguments[0], arguments[1:]
    lines = sorted(read_lines(paths), key=lambda item: item[0]["t"])
    own = [line for line, _ in lines if line.get("request") == request]
    if not own:
        print(f"no line of request {request} in {len(paths)} file(s)", file=sys.stderr)
        return 1
    first, last = own[0]["t"], own[-1]["t"]
    endpoints = set()
    for line in own:
        endpoints.update(name for name in line.get("endpoints", "").split(",") if name)
        endpoints.update([line["endpoint"]] if "endpoint" in line else [])
    for line, source in lines:
        is_own = line.get("request") == request
        is_context = line["event"] in ENDPOINT_EVENTS and line.get("endpoint") in endpoints
        if is_own or (is_context and first - CONTEXT_MS <= line["t"] <= last):
            fields = {key: value for key, value in line.items() if key not in ("t", "part", "event", "request")}
            mark = "*" if is_own else " "
            print(f"{mark} {line['t'] - first:+7d} ms  {source}  {line['part']} {line['event']} {json.dumps(fields)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
