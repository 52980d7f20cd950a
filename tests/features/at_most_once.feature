Feature: a booking runs at most once, and "not run" is true

  Background:
    Given dispatch on 2 endpoints in two regions
    And the platform lists dispatch-0 as leaving
    And a booking sent to dispatch-0 is answered served

  Scenario: a call kept in the link arrives after it was resolved
    When the open connections of the link are held
    And a booking is sent to dispatch-0
    Then the booking is answered not-run
    When the link lets go what it held
    Then the booking ran 0 times

  Scenario: an answer lost on a silent connection is fetched over a new one
    Given a request takes 600 ms on dispatch-1
    When a booking is sent to dispatch-0
    And the booking runs on dispatch-1
    And the open connections of the link go silent
    Then the booking is answered served
    And the booking ran 1 times

  Scenario: the daemon beside the running booking is killed
    Given a request takes 600 ms on dispatch-1
    When a booking is sent to dispatch-0
    And the booking runs on dispatch-1
    And the daemon of dispatch-1 is killed and started again
    Then the booking is answered unknown
    And the booking ran 1 times
    And its ticket sent to dispatch-1 is answered unknown

  Scenario: the backend server dies under the booking
    Given a request takes 600 ms on dispatch-1
    When a booking is sent to dispatch-0
    And the booking runs on dispatch-1
    And the backend server of dispatch-1 is killed
    Then the booking is answered unknown

  Scenario: a repeat with the ticket through another daemon gets the one answer
    Given a request takes 900 ms on dispatch-1
    When a booking is sent to dispatch-0
    And the booking runs on dispatch-1
    And the link is cut until the booking is answered
    Then the booking is answered unknown
    And its ticket sent to dispatch-1 is answered served
    And its ticket sent to dispatch-0 is answered served
    And the booking ran 1 times

  Scenario: a booking kept in the link is barred through another daemon
    When the open connections of the link are held
    And new connections of the link are held too
    And a booking is sent to dispatch-0
    Then the booking is answered unknown
    And its ticket sent to dispatch-1 is answered not-run
    When the link lets go what it held
    Then the booking ran 0 times
