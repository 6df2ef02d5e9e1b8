//! Completion requests: admission checks, attaching to an existing run, token streaming.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use jaysaddle_types::engine::EngineCompletion;
use jaysaddle_types::engine::EngineRefusal;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::engine::TokenChunk;
use serde::Serialize;
use tiny_http::Request;

use crate::engine::fault::StreamFault;
use crate::engine::run::Run;
use crate::engine::run::RunEnd;
use crate::engine::vm::EngineVm;
use crate::engine::vm::VmState;
use crate::http::ChunkWriter;
use crate::http::respond_json;

/// Interval at which an idle stream checks for injected faults.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct RefusalBody {
    refused: EngineRefusal,
}

/// Next part of a run's output to send.
struct StreamStep {
    chunk: TokenChunk,
    close_stream: bool,
}

/// Sends server-sent events and applies the duplicate and reorder faults.
struct EventSender<'a> {
    vm: &'a EngineVm,
    writer: ChunkWriter,
    deferred: Option<String>,
}

impl EventSender<'_> {
    fn send(&mut self, chunk: &TokenChunk) -> std::io::Result<()> {
        let json = serde_json::to_string(chunk)?;
        let event = format!("data: {json}\n\n");
        if self.vm.faults.reorders_events() && self.deferred.is_none() && chunk.finish.is_none() {
            self.deferred = Some(event);
            return Ok(());
        }
        self.writer.send(&event)?;
        if self.vm.faults.duplicates_events() {
            self.writer.send(&event)?;
        }
        match self.deferred.take() {
            Some(deferred) => self.writer.send(&deferred),
            None => Ok(()),
        }
    }
}

impl EngineVm {
    /// Serves a completion; called on a thread of its own.
    pub(crate) fn serve(&self, request: Request, completion: &EngineCompletion) {
        match self.submit(completion) {
            Ok(run) => self.stream(request, &run, completion),
            Err(refused) => {
                self.lock().stats.refused += 1;
                respond_json(request, 409, &RefusalBody { refused });
            }
        }
    }

    /// Finds the run of the request or starts it, and counts the caller as a connection of the run.
    fn submit(&self, completion: &EngineCompletion) -> Result<Arc<Run>, EngineRefusal> {
        if let Some(run) = self.attach(&mut self.lock(), completion) {
            return Ok(run);
        }
        if completion.resume {
            return Err(EngineRefusal::UnknownRequest);
        }
        if completion.deadline_ms == 0 {
            return Err(EngineRefusal::DeadlineExceeded);
        }
        self.check_members(self.settings.member_check_interval.as_duration());
        let mut state = self.lock();
        // A duplicate of the request may have started the run during the member check.
        if let Some(run) = self.attach(&mut state, completion) {
            return Ok(run);
        }
        check_admission(&state, completion)?;
        let mut run = Run::new(completion, Instant::now());
        if self.faults.empties_output() {
            run.max_tokens = 0;
        }
        let run = Arc::new(run);
        run.add_connection();
        state.stats.started += 1;
        state
            .recorder
            .record(&completion.request_id, &completion.prompt);
        state.scheduler.submit(Arc::clone(&run));
        drop(state);
        self.wake();
        Ok(run)
    }

    fn attach(&self, state: &mut VmState, completion: &EngineCompletion) -> Option<Arc<Run>> {
        let run = state.scheduler.find(&completion.request_id)?;
        let run = Arc::clone(run);
        run.add_connection();
        state.stats.attached += 1;
        Some(run)
    }

    fn stream(&self, request: Request, run: &Run, completion: &EngineCompletion) {
        let outcome = self.send_tokens(request, run, completion);
        run.remove_connection(Instant::now());
        if let Err(error) = outcome {
            log::debug!(
                "cannot stream the output of request {}: {error}",
                completion.request_id
            );
        }
    }

    fn send_tokens(
        &self,
        request: Request,
        run: &Run,
        completion: &EngineCompletion,
    ) -> std::io::Result<()> {
        let since = self.faults.epoch();
        let attached_after_end = run.end_state().is_some();
        let mut sender = EventSender {
            vm: self,
            writer: ChunkWriter::start_events(request)?,
            deferred: None,
        };
        let mut next_offset = completion.offset;
        loop {
            match self.faults.stream_fault(since) {
                StreamFault::None => {}
                StreamFault::Frozen => {
                    thread::sleep(FAULT_POLL_INTERVAL);
                    continue;
                }
                StreamFault::Cut => return Ok(()),
                StreamFault::Silent => {
                    self.lock().stalled_streams.push(sender.writer);
                    return Ok(());
                }
            }
            let Some(step) = next_step(run, completion, next_offset, attached_after_end) else {
                continue;
            };
            if step.close_stream {
                return Ok(());
            }
            sender.send(&step.chunk)?;
            next_offset += step.chunk.tokens;
            if step.chunk.finish.is_some() {
                return sender.writer.finish();
            }
        }
    }
}

/// Waits up to one poll interval for tokens from `next_offset` on; returns `None` if there
/// are none yet.
fn next_step(
    run: &Run,
    completion: &EngineCompletion,
    next_offset: u32,
    attached_after_end: bool,
) -> Option<StreamStep> {
    let mut progress = run.lock();
    if progress.produced <= next_offset && progress.end.is_none() {
        progress = run.wait(progress, FAULT_POLL_INTERVAL);
    }
    let tokens = progress.produced.saturating_sub(next_offset);
    let end = progress.end.map(|(end, _)| end);
    if tokens == 0 && end.is_none() {
        return None;
    }
    let finish = match end {
        Some(RunEnd::Finished(reason)) => Some(reason),
        Some(RunEnd::Aborted) if attached_after_end => Some(FinishReason::Cancelled),
        _ => None,
    };
    let text: CompactString = (next_offset..next_offset + tokens)
        .map(|offset| run.seed.token(offset))
        .collect();
    let chunk = TokenChunk {
        request_id: completion.request_id.clone(),
        attempt: completion.attempt,
        offset: next_offset,
        tokens,
        text,
        finish,
        cached_tokens: if next_offset == 0 {
            progress.cached_tokens
        } else {
            0
        },
    };
    Some(StreamStep {
        close_stream: end == Some(RunEnd::Aborted) && !attached_after_end,
        chunk,
    })
}

/// Checks whether the engine accepts a request that would start a new run.
fn check_admission(state: &VmState, completion: &EngineCompletion) -> Result<(), EngineRefusal> {
    let report = &state.report;
    if report.leaving {
        return Err(EngineRefusal::Leaving);
    }
    if report.group.as_ref() != Some(&completion.group)
        || report.generation != completion.generation
    {
        return Err(EngineRefusal::StaleGeneration);
    }
    if report.role != EngineRole::Leader || !report.missing.is_empty() {
        return Err(EngineRefusal::NotWhole);
    }
    if report.model.as_ref() != Some(&completion.model) {
        return Err(EngineRefusal::WrongModel);
    }
    if state.scheduler.is_full() {
        return Err(EngineRefusal::Overloaded);
    }
    Ok(())
}
