import type { HistoryEntry } from "@knapweedwood/config.publishing/historyEntry";
import type { Revision } from "@knapweedwood/core.ids/revision";
import { bodySchemas } from "./bodySchemas.js";
import { changesFromFiles } from "./changesFromFiles.js";
import { ConfigurationEditor } from "./configurationEditor.js";
import type { OperatorsApiOptions } from "./operatorsApiOptions.js";
import { parseBody } from "./parseBody.js";
import { publishResultObject } from "./publishResultObject.js";
import { readNumber } from "./readNumber.js";
import { roleSets } from "./roleSets.js";
import type { Route } from "./route.js";

const DEFAULT_HISTORY_LIMIT = 50;
const MAX_HISTORY_LIMIT = 1_000;

/** Returns the routes for publishing, history, rollback, and the number of processes with an active revision. */
export function configurationRoutes(opts: OperatorsApiOptions): Route[] {
    return [
        {
            method: "GET",
            path: "/configuration",
            roles: roleSets.operators,
            handle: async () => {
                const active = opts.configuration.current();
                return { revision: active?.revision ?? 0, digest: active?.digest ?? "" };
            },
        },
        {
            method: "GET",
            path: "/configuration/in-force",
            roles: roleSets.operators,
            handle: async ({ query }) => {
                const revision = readNumber(query, "revision", {});
                return opts.configuration.inForce(revision as Revision | undefined);
            },
        },
        {
            method: "GET",
            path: "/configuration/history",
            roles: roleSets.platform,
            handle: async ({ query }) => {
                const limit = readNumber(query, "limit", { maximum: MAX_HISTORY_LIMIT }) ?? DEFAULT_HISTORY_LIMIT;
                return { history: (await opts.publisher.history({ limit })).map(historyObject) };
            },
        },
        {
            method: "GET",
            path: "/configuration/difference",
            roles: roleSets.platform,
            handle: async ({ query }) => {
                const from = (readNumber(query, "from", {}) ?? 0) as Revision;
                const to = (readNumber(query, "to", {}) ?? opts.configuration.current()?.revision ?? 0) as Revision;
                const difference = await opts.publisher.difference(from, to);
                return { from, ...publishResultObject({ revision: to, digest: "", published: true, difference }) };
            },
        },
        {
            method: "POST",
            path: "/configuration/publish",
            roles: roleSets.operators,
            handle: async ({ caller, body }) => {
                const { files, baseRevision, ...rest } = parseBody(bodySchemas.publish, body);
                const editor = new ConfigurationEditor(opts, caller);
                const current = await opts.publisher.current();
                const changes = changesFromFiles({ files, current, caller });
                const result = await opts.publisher.publish({
                    actor: caller.keyId,
                    changes,
                    ...rest,
                    ...(baseRevision === undefined ? {} : { baseRevision: baseRevision as Revision }),
                });
                return publishResultObject(await editor.waitUntilActive(result));
            },
        },
        {
            method: "POST",
            path: "/configuration/rollback",
            roles: roleSets.platform,
            handle: async ({ caller, body }) => {
                const { revision, dryRun } = parseBody(bodySchemas.rollback, body);
                const result = await opts.publisher.rollback({
                    revision: revision as Revision,
                    actor: caller.keyId,
                    ...(dryRun === undefined ? {} : { dryRun }),
                });
                return publishResultObject(await new ConfigurationEditor(opts, caller).waitUntilActive(result));
            },
        },
        {
            method: "GET",
            path: "/audit",
            roles: roleSets.platform,
            handle: async ({ query }) => {
                const limit = readNumber(query, "limit", { maximum: MAX_HISTORY_LIMIT }) ?? DEFAULT_HISTORY_LIMIT;
                return { entries: (await opts.publisher.history({ limit })).map(historyObject) };
            },
        },
    ];
}

function historyObject(entry: HistoryEntry): object {
    return {
        revision: entry.root.revision,
        digest: entry.root.digest,
        changeId: entry.root.changeId,
        publishedAtMs: entry.root.publishedAtMs,
        actor: entry.actor,
        message: entry.message,
        changes: entry.changes,
        changeCount: entry.changeCount,
    };
}
