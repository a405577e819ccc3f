// Calls about jobs name only the host and the job. They were not identified, so that any caller could read and cancel the jobs
// of all teams.
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { JobAcceptor } from "@knapweedwood/fleet.jobs/jobAcceptor";
import type { JobCaller } from "@knapweedwood/fleet.jobs/jobCaller";
import type { JobSubmission } from "@knapweedwood/fleet.jobs/jobSubmission";
import type { Route } from "@knapweedwood/fleet.view/route";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallerProtocol } from "../src/callerProtocol.js";
import { JobRoutes } from "../src/jobRoutes.js";
import type { RemoteJobReader } from "../src/remoteJobReader.js";
import { GatewayTestBed } from "./gatewayTestBed.js";

const limits = { priority: undefined, requestsPerSecond: undefined, burst: 0 };
const teams = [
    { id: "red" as TeamId, keys: ["red-1", "red-2"], ...limits },
    { id: "blue" as TeamId, keys: ["blue-1"], ...limits },
];

/** The job "j" belongs to the team red. */
async function withGateway(
    opts: { route?: Partial<Route>; hasTeams?: boolean; isConfigurationCurrent?: boolean; },
    action: (testBed: GatewayTestBed, seen: (JobCaller | undefined)[]) => Promise<void>,
): Promise<void> {
    const { isConfigurationCurrent = true } = opts;
    const seen: (JobCaller | undefined)[] = [];
    const mayAccess = (caller: JobCaller | undefined) => {
        seen.push(caller);
        return caller === undefined || caller.team === "red";
    };
    const routes = new JobRoutes({
        logger: silentLogger,
        protocol: {
            decodeSubmission: jobId => ({ jobId, items: [] }) as unknown as JobSubmission,
            encodeResultsPage: () => "{}",
        } as Partial<CallerProtocol> as CallerProtocol,
        acceptor: {
            accept: (_route: Route, { caller }: JobSubmission) =>
                Promise.resolve(
                    mayAccess(caller) ? { kind: "accepted", revision: 1 } : { kind: "refused", reason: "id-taken" },
                ),
            cancel: (_jobId: JobId, caller?: JobCaller) => Promise.resolve(mayAccess(caller) ? 1 : undefined),
        } as unknown as JobAcceptor,
        reader: {
            results: ({ caller }) => Promise.resolve(mayAccess(caller) ? {} as never : undefined),
            itemBody: ({ caller }) => Promise.resolve(mayAccess(caller) ? Buffer.from("b") : undefined),
        } as RemoteJobReader,
        onJobWritten: () => undefined,
        isConfigurationCurrent: () => isConfigurationCurrent,
    });
    const parse: CallerProtocol["parseJobCall"] = ({ url }) =>
        url === "/jobs/j" ? { kind: "read-results", jobId: "j" as JobId, after: 0, waitMs: 0 } : undefined;
    const testBed = new GatewayTestBed({
        upstreams: [],
        route: { kind: "batch", ...opts.route },
        isConfigurationCurrent,
        jobs: { routes, parse },
        ...opts.hasTeams === false ? {} : { teams },
    });
    await testBed.listen();
    try {
        await action(testBed, seen);
    }
    finally {
        testBed.close();
    }
}

async function statusOf(testBed: GatewayTestBed, path: string, key?: string): Promise<number> {
    const headers: { [name: string]: string; } = key === undefined ? {} : { "x-key": key };
    return (await testBed.send({ path, headers })).statusCode;
}

test("any key of its team reads a job; another team's key gets 404, an unknown or missing one 401", () =>
    withGateway({}, async testBed => {
        const statuses = await Promise.all(
            ["red-1", "red-2", "blue-1", "unknown", undefined].map(key => statusOf(testBed, "/jobs/j", key)),
        );
        assert.deepEqual(statuses, [200, 200, 404, 401, 401]);
    }));

test("while the configuration may be outdated, 503 replaces 401 and 404", () =>
    withGateway({ isConfigurationCurrent: false }, async testBed => {
        const statuses = await Promise.all(
            ["red-1", "blue-1", "unknown", undefined].map(key => statusOf(testBed, "/jobs/j", key)),
        );
        assert.deepEqual(statuses, [200, 503, 503, 503]);
    }));

test("without teams no key is needed, and with anonymous batch routes a known one still names the team", async () => {
    await withGateway({ hasTeams: false }, async (testBed, seen) => {
        assert.equal(await statusOf(testBed, "/jobs/j", "unknown"), 200);
        assert.deepEqual(seen, [undefined]);
    });
    await withGateway({ route: { isAnonymous: true } }, async (testBed, seen) => {
        assert.deepEqual([await statusOf(testBed, "/jobs/j"), await statusOf(testBed, "/jobs/j", "red-1")], [404, 200]);
        assert.deepEqual(seen, [{}, { team: "red" }]);
    });
});

test("a submission carries the team of its key, and a job id of another team is refused for good", () =>
    withGateway({}, async (testBed, seen) => {
        assert.equal(await statusOf(testBed, "/a/x", "red-2"), 202);
        assert.equal(await statusOf(testBed, "/a/x", "blue-1"), 400);
        assert.deepEqual(seen, [{ team: "red" }, { team: "blue" }]);
    }));
