import { ownershipChart } from "../src/ownershipChart.js";
import type { OwnershipState } from "../src/ownershipState.js";

const ITEM_COUNT = 3;

interface OwnerModel {
    state: OwnershipState;
    isPaused: boolean;
    /** Fencing number of its ownership. */
    fencingNumber: number;
    /** Revision of the progress record that it last read. */
    baseRevision: number;
    /** Items that it has run and not committed. */
    results: number[];
    /** Whether the response to its last commit was lost. */
    isOutcomeUnknown: boolean;
}

/** State of the smallest model of leases, ownership and checkpoints: two owners, three items. */
export interface ProtocolState {
    owners: [OwnerModel, OwnerModel];
    /** Key-value service: holder of the lease, fencing counter, progress record and its revision. */
    holder: 0 | 1 | undefined;
    fencingNumber: number;
    revision: number;
    committed: number[];
    commitCounts: number[];
    lostResponsesLeft: number;
    pausesLeft: number;
    leaseExpiriesLeft: number;
}

/** The state before the first action. The `...Left` counters limit the faults that an exploration covers. */
export const initialState: ProtocolState = {
    owners: [createOwner(), createOwner()],
    holder: undefined,
    fencingNumber: 0,
    revision: 1,
    committed: [],
    commitCounts: Array.from({ length: ITEM_COUNT }, () => 0),
    lostResponsesLeft: 1,
    pausesLeft: 1,
    leaseExpiriesLeft: 2,
};

function createOwner(): OwnerModel {
    const state = ownershipChart.initial;
    return { state, isPaused: false, fencingNumber: 0, baseRevision: 0, results: [], isOutcomeUnknown: false };
}

/** Returns all states that one action leads to, shape [successors]. */
export function successorsOf(state: ProtocolState, opts: { checksFencing: boolean; }): ProtocolState[] {
    return ([0, 1] as const).flatMap(index => [
        ...acquire(state, index),
        ...expireLease(state, index),
        ...observe(state, index),
        ...runItem(state, index),
        ...commit(state, index, opts),
        ...pauseOrResume(state, index),
    ]);
}

function change(state: ProtocolState, index: 0 | 1, owner: Partial<OwnerModel>, rest: Partial<ProtocolState> = {}) {
    const next = structuredClone({ ...state, ...rest });
    next.owners[index] = { ...next.owners[index], ...owner };
    return next;
}

function acquire(state: ProtocolState, index: 0 | 1): ProtocolState[] {
    const owner = state.owners[index];
    if (owner.isPaused || state.holder !== undefined || !ownershipChart.accepts(owner.state, "acquired")) {
        return [];
    }
    const fencingNumber = state.fencingNumber + 1;
    const reload = {
        baseRevision: state.revision,
        results: owner.results.filter(item => !state.committed.includes(item)),
    };
    const next = {
        state: ownershipChart.next(owner.state, "acquired"),
        fencingNumber,
        isOutcomeUnknown: false,
        ...reload,
    };
    return [change(state, index, next, { holder: index, fencingNumber })];
}

function expireLease(state: ProtocolState, index: 0 | 1): ProtocolState[] {
    return state.holder === index && state.leaseExpiriesLeft > 0
        ? [change(state, index, {}, { holder: undefined, leaseExpiriesLeft: state.leaseExpiriesLeft - 1 })]
        : [];
}

/** An owner observes that its lease has expired or that another owner has taken over. */
function observe(state: ProtocolState, index: 0 | 1): ProtocolState[] {
    const owner = state.owners[index];
    if (owner.isPaused || owner.state === "idle" || state.holder === index) {
        return [];
    }
    const event = state.holder === undefined ? "lapsed" : "taken";
    if (!ownershipChart.accepts(owner.state, event)) {
        return [];
    }
    const results = event === "taken" ? [] : owner.results;
    return [change(state, index, { state: ownershipChart.next(owner.state, event), results })];
}

function runItem(state: ProtocolState, index: 0 | 1): ProtocolState[] {
    const owner = state.owners[index];
    if (owner.isPaused || (owner.state !== "held" && owner.state !== "suspended")) {
        return [];
    }
    return Array.from({ length: ITEM_COUNT }, (_, item) => item)
        .filter(item => !owner.results.includes(item) && !state.committed.includes(item))
        .map(item => change(state, index, { results: [...owner.results, item].sort() }));
}

/** A commit compares the holder and the record's revision. If its response is lost, a later read finds the outcome. */
function commit(state: ProtocolState, index: 0 | 1, opts: { checksFencing: boolean; }): ProtocolState[] {
    const owner = state.owners[index];
    if (owner.isPaused || owner.state !== "held" || (owner.results.length === 0 && !owner.isOutcomeUnknown)) {
        return [];
    }
    const isOwner = state.holder === index && owner.fencingNumber === state.fencingNumber;
    const isCurrent = owner.baseRevision === state.revision;
    if (opts.checksFencing && (!isOwner || !isCurrent)) {
        const results = owner.results.filter(item => !state.committed.includes(item));
        return isOwner
            ? [change(state, index, { baseRevision: state.revision, results, isOutcomeUnknown: false })]
            : [];
    }
    const revision = state.revision + 1;
    const written = {
        revision,
        committed: [...new Set([...state.committed, ...owner.results])].sort(),
        commitCounts: state.commitCounts.map((count, item) => count + Number(owner.results.includes(item))),
    };
    const acknowledged = change(
        state,
        index,
        { baseRevision: revision, results: [], isOutcomeUnknown: false },
        written,
    );
    const responseLost = change(state, index, { isOutcomeUnknown: true }, {
        ...written,
        lostResponsesLeft: state.lostResponsesLeft - 1,
    });
    return state.lostResponsesLeft > 0 ? [acknowledged, responseLost] : [acknowledged];
}

function pauseOrResume(state: ProtocolState, index: 0 | 1): ProtocolState[] {
    const owner = state.owners[index];
    if (owner.isPaused) {
        return [change(state, index, { isPaused: false })];
    }
    return state.pausesLeft > 0 ? [change(state, index, { isPaused: true }, { pausesLeft: state.pausesLeft - 1 })] : [];
}
