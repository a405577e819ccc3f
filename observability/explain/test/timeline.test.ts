import assert from "node:assert/strict";
import { test } from "node:test";
import { formatTimeline } from "../src/formatTimeline.js";
import type { LogLine } from "../src/logLine.js";
import { parseLogLine } from "../src/parseLogLine.js";
import { Timeline } from "../src/timeline.js";

function lineOf(second: number, instance: string, event: string, fields: object = {}): string {
    const time = new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
    return JSON.stringify({ time, level: "info", event, program: "gateway", instance, ...fields });
}

function explain(id: string, texts: string[]): string[] {
    const lines = texts.map(parseLogLine).filter((line): line is LogLine => line !== undefined);
    const timeline = new Timeline(id);
    lines.forEach(line => timeline.addMatch(line));
    lines.forEach(line => timeline.addContext(line));
    return formatTimeline(timeline.entries());
}

test("a request's lines are in order of time, with the state of its process and of its upstream as context", () => {
    const texts = [
        lineOf(1, "g-1", "configuration-in-force", { version: 1 }),
        lineOf(2, "g-1", "configuration-in-force", { version: 2 }),
        lineOf(3, "g-2", "configuration-in-force", { version: 3 }),
        lineOf(11, "g-1", "upstream-failed", { requestId: "r", upstream: "u", code: "ECONNRESET", isEjected: true }),
        `10.5 g-1 ${lineOf(10, "g-1", "call-placed", { requestId: "r", upstream: "u" })}`,
        lineOf(11, "g-1", "call-failed", { requestId: "r", statusCode: 502, message: "The upstream broke off" }),
        lineOf(10, "g-1", "call-placed", { requestId: "other", upstream: "u" }),
        lineOf(13, "g-2", "upstream-changed", { change: "left", upstream: "u" }),
        lineOf(13, "g-2", "upstream-changed", { change: "left", upstream: "unrelated" }),
        lineOf(40, "g-2", "upstream-changed", { change: "joined", upstream: "u" }),
        "not a log line",
        "{ cut",
    ];
    assert.deepEqual(explain("r", texts).map(line => line.replaceAll(/\s+/gu, " ")), [
        "00:00:02.000 g-1 · configuration-in-force version=2",
        "00:00:10.000 g-1 call-placed requestId=r upstream=u",
        "00:00:11.000 g-1 upstream-failed requestId=r upstream=u code=ECONNRESET isEjected=true",
        '00:00:11.000 g-1 call-failed requestId=r statusCode=502 message="The upstream broke off"',
        "00:00:13.000 g-2 · upstream-changed change=left upstream=u",
    ]);
});

test("items and jobs are found by their ids, and an unknown id has no lines", () => {
    const texts = [
        lineOf(1, "g", "job-submitted", { jobId: "j", kind: "accepted" }),
        lineOf(2, "r", "item-started", { jobId: "j", itemId: "i", upstream: "u" }),
        lineOf(3, "r", "leadership-lost", { reason: "resigned" }),
        lineOf(4, "r", "item-listed", { jobId: "j", itemId: "i", state: "completed" }),
    ];
    assert.equal(explain("i", texts).length, 3);
    assert.equal(explain("j", texts).length, 4);
    assert.deepEqual(explain("unknown", texts), []);
});
