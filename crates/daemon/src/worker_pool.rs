//! Worker threads for work that can block.

use std::thread;

/// Stack of a worker. Workers make one HTTP call at a time and hold its body on the heap.
const WORKER_STACK_BYTES: usize = 256 * 1024;

/// A unit of work.
pub type WorkerJob = Box<dyn FnOnce() + Send>;

/// A fixed number of threads that take jobs from one queue.
#[derive(Clone)]
pub struct WorkerPool {
    jobs: flume::Sender<WorkerJob>,
}

impl WorkerPool {
    /// Starts `threads` workers.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn start(name: &str, threads: usize) -> std::io::Result<Self> {
        let (jobs, queue) = flume::unbounded::<WorkerJob>();
        for _ in 0..threads {
            let queue = queue.clone();
            thread::Builder::new()
                .name(name.to_owned())
                .stack_size(WORKER_STACK_BYTES)
                .spawn(move || {
                    for job in queue {
                        job();
                    }
                })?;
        }
        Ok(Self { jobs })
    }

    /// Queues a job; it is dropped when the workers have ended.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) {
        let _ = self.jobs.send(Box::new(job));
    }

    /// Jobs that wait.
    pub fn queued(&self) -> usize {
        self.jobs.len()
    }
}
